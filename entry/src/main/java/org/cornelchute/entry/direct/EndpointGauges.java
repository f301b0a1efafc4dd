package org.cornelchute.entry.direct;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.cornelchute.policy.forward.CallDecider;

/** Metrics on what the entry knows of the speed of endpoints and of their caches. */
final class EndpointGauges {

  private EndpointGauges() {}

  /** Registers the gauges; they must be read on the event loop of the decider. */
  static void register(MetricRegistry metrics, CallDecider decider, LongSupplier clockMillis) {
    metrics.register(
        "endpoints.slow",
        (Gauge<Integer>) () -> decider.endpointSpeeds().slowCount(clockMillis.getAsLong()));
    metrics.register(
        "endpoints.caching", (Gauge<Integer>) () -> decider.prefixCaches().engineCount());
    metrics.register("prompts.held", (Gauge<Integer>) () -> decider.prefixCaches().prefixCount());
  }
}
