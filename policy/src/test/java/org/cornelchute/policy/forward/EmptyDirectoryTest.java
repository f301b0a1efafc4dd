package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.find;
import static org.cornelchute.policy.forward.Fixture.plain;
import static org.cornelchute.policy.forward.Fixture.rejection;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * An entry starts just after an outage of the store, in which the registrations of endpoints
 * expired. Running endpoints are listed again within about two seconds.
 */
class EmptyDirectoryTest {

  /** Time after which an endpoint that is still missing is to be treated as gone, with slack. */
  private static final long RELISTED_MILLIS = 2_500;

  private final Fixture fixture = new Fixture();

  /** Failure: callers were told to come back late, as if the service had no endpoint anywhere. */
  @Test
  void sendsCallersToOtherEntriesWhileTheFirstListIsEmpty() {
    start();
    fixture.decider.recordEntryReport(fixture.now, "e2", 100, List.of());
    CallEffect.Reject reject = find(fixture.call("/c/"), CallEffect.Reject.class).orElseThrow();
    assertThat(reject.rejection()).isEqualTo(Rejection.NOT_READY);
    assertThat(reject.retryAfterMillis()).isLessThan(60);
  }

  /** Failure: as above, if endpoints of another service were already listed again. */
  @Test
  void sendsCallersToOtherEntriesWhileNoEndpointOfTheServiceIsListed() {
    start(plain("p1"));
    fixture.decider.recordEntryReport(fixture.now, "e2", 100, List.of());
    assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NOT_READY);
    assertThat(find(fixture.call("/c/"), CallEffect.Dispatch.class)).isPresent();
  }

  /** Failure: the platform sent new connections to an entry that knew no endpoint. */
  @Test
  void isNotReadyWhileTheFirstListIsEmpty() {
    start();
    assertThat(fixture.decider.isReady(fixture.now)).isFalse();
    fixture.decider.updateEndpoints(fixture.now, List.of(plain("p1")));
    assertThat(fixture.decider.isReady(fixture.now)).isTrue();
  }

  /** Guards against an entry that waits for endpoints that are gone. */
  @Test
  void treatsEndpointsThatAreNotListedInTimeAsGone() {
    start();
    fixture.now += RELISTED_MILLIS;
    fixture.decider.recordConfirmation(fixture.now);
    assertThat(rejection(fixture.call("/c/"))).isEqualTo(Rejection.NO_ENDPOINT);
    assertThat(fixture.decider.isReady(fixture.now)).isTrue();
  }

  /** Guards against diverting callers from an entry that knows the endpoints of the service. */
  @Test
  void treatsServiceAsWithoutEndpointIfAllThatAreListedAreDraining() {
    EndpointSpec draining =
        new EndpointSpec("p1", "plain", "10.0.0.2:80", "d1", "r1", 6, true, 0, 1, "", 0);
    start(draining);
    assertThat(rejection(fixture.call("/c/"))).isEqualTo(Rejection.NO_ENDPOINT);
  }

  /** Provides everything to the decider; the first list holds these endpoints only. */
  private void start(EndpointSpec... listed) {
    CallDecider decider = fixture.decider;
    decider.updateConfig(
        Fixture.config(1, Map.of(Fixture.KEY, new WorkspaceSpec("w1", 1, List.of()))));
    decider.updateEvacuatedDomains(Set.of());
    decider.recordConfirmation(fixture.now);
    decider.updateEndpoints(fixture.now, List.of(listed));
  }
}
