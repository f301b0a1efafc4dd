package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelchute.net.wire.WireClient;
import org.cornelchute.policy.forward.CallDecider;
import org.cornelchute.policy.forward.CallOptions;
import org.cornelchute.policy.forward.ServingConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The periodic tasks of an entry, of which one ends calls at their deadlines. */
@Timeout(20)
class PeriodicTaskTest {

  /** More than the slower of the two tasks runs within the time that the test waits. */
  private static final int RUNS = 40;

  /** Failure: after one failure of a periodic task, no call ended at its deadline any more. */
  @Test
  void runsAgainAfterFailure() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    AtomicInteger runs = new AtomicInteger();
    CountDownLatch enough = new CountDownLatch(RUNS);
    try {
      CallDuty duty =
          new CallDuty(
              group.next(),
              new WireClient(group, () -> 0, new MetricRegistry()),
              new CallDecider(new CallOptions("e", "d", "r", 1, 1, 1, 1, 0, 0, 1_000, 1, 1), 1, 0),
              EntryFixture.HEADER_NAMES,
              () -> {
                enough.countDown();
                if (runs.incrementAndGet() == 1) {
                  throw new IllegalStateException("for the test");
                }
                return 0;
              },
              Optional.empty(),
              EntryFixture.fixedState(ServingConfig.EMPTY, List.of()),
              new MetricRegistry());
      group.next().execute(duty::start);
      assertThat(enough.await(10, TimeUnit.SECONDS)).isTrue();
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
