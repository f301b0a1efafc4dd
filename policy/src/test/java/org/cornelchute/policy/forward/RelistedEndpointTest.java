package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.dispatch;
import static org.cornelchute.policy.forward.Fixture.engine;
import static org.cornelchute.policy.forward.Fixture.find;
import static org.cornelchute.policy.forward.Fixture.plain;

import java.util.List;
import org.cornelchute.core.model.OpenCalls;
import org.junit.jupiter.api.Test;

/** The row of an endpoint goes and comes back, the same incarnation, while it has open calls. */
class RelistedEndpointTest {

  private static final long ABSENCE_MILLIS = 300;

  /** Lists only some of the endpoints for a short time, then all of them again. */
  private static void relist(Fixture fixture, EndpointSpec... meanwhile) {
    fixture.decider.updateEndpoints(fixture.now, List.of(meanwhile));
    fixture.now += ABSENCE_MILLIS;
    fixture.decider.sweep(fixture.now);
    fixture.decider.updateEndpoints(fixture.now, fixture.endpoints);
  }

  /** Failure: an endpoint that was full got as many calls again after its row had come back. */
  @Test
  void stillCountsTheOpenCalls() {
    Fixture fixture = new Fixture().withEndpoints(plain("p1"), plain("p2"));
    CallEffect.Dispatch sent = dispatch(fixture.call("/c/"));
    String other = sent.endpoint().id().equals("p1") ? "p2" : "p1";
    relist(fixture, plain(other));
    assertThat(fixture.decider.openCalls())
        .containsExactly(new OpenCalls(sent.endpoint().id().hashCode(), 1));
    fixture.decider.onResponseHead(fixture.now, sent.call(), 1, Fixture.head(200));
    fixture.decider.onResponseEnd(fixture.now, sent.call(), 1);
    assertThat(fixture.decider.openCalls()).isEmpty();
  }

  /**
   * Failure: an attempt at an engine whose row had gone and come back was given up as superseded,
   * although the engine had loaded the next version in time.
   */
  @Test
  void keepsAttemptIfTheEngineHasLoadedTheNextVersion() {
    Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1), engine("b", "d1", 1));
    CallEffect.Dispatch sent = dispatch(fixture.call("/s/"));
    String other = sent.endpoint().id().equals("a") ? "b" : "a";
    relist(fixture, engine(other, "d1", 1));
    fixture.decider.updateEndpoints(
        fixture.now, List.of(engine("a", "d1", 2), engine("b", "d1", 2)));
    long seenAt = fixture.now - Fixture.OPTIONS.versionCutoffMillis();
    fixture.decider.recordVersion(seenAt - 10_000, seenAt - 10_000, "m", 1);
    fixture.decider.recordVersion(seenAt, seenAt, "m", 2);
    List<CallEffect> effects = fixture.decider.sweep(fixture.now);
    assertThat(find(effects, CallEffect.CancelAttempt.class)).isEmpty();
    assertThat(fixture.decider.onResponseEnd(fixture.now, sent.call(), 1)).isNotEmpty();
  }
}
