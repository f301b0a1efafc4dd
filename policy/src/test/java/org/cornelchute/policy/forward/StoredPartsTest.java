package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.engine;
import static org.cornelchute.policy.forward.Fixture.find;
import static org.cornelchute.policy.forward.Fixture.rejection;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An entry starts while parts of prompts are blocked, and reads them later than all the rest. */
class StoredPartsTest {

  private static final long SOUND = 1;
  private static final long HARMFUL = 2;

  /** Time after which calls are sent even if the parts cannot be read, with slack. */
  private static final long WAIT_MILLIS = 2_500;

  private final Fixture fixture = new Fixture().withEndpoints(engine("i1", "d1", 1));
  private long lastNumber;

  @BeforeEach
  void start() {
    fixture.decider.crashEvidence().awaitStored();
  }

  /** Failure: calls that crash endpoints were sent until the blocked parts were read. */
  @Test
  void sendsNoCallWithSharedPartsBeforeTheBlockedPartsAreRead() {
    assertThat(rejection(call(SOUND, HARMFUL))).isEqualTo(Rejection.NOT_READY);
    fixture.decider.crashEvidence().recordStored(fixture.now, HARMFUL, 5);
    fixture.decider.crashEvidence().recordStoredRead();
    assertThat(rejection(call(SOUND, HARMFUL))).isEqualTo(Rejection.BLOCKED_PROMPT);
    assertThat(find(call(SOUND), CallEffect.Dispatch.class)).isPresent();
  }

  @Test
  void sendsCallsWithoutSharedPartsMeanwhile() {
    assertThat(find(call(), CallEffect.Dispatch.class)).isPresent();
  }

  /** Guards against an entry that serves nobody as one table cannot be read. */
  @Test
  void sendsCallsIfTheBlockedPartsCannotBeReadInTime() {
    fixture.now += WAIT_MILLIS;
    fixture.decider.recordConfirmation(fixture.now);
    assertThat(rejection(call(SOUND))).isEqualTo(Rejection.NOT_READY);
    fixture.now += WAIT_MILLIS;
    fixture.decider.recordConfirmation(fixture.now);
    assertThat(find(call(SOUND), CallEffect.Dispatch.class)).isPresent();
  }

  private List<CallEffect> call(Long... parts) {
    CallSpec spec = fixture.callSpec("/s/", Fixture.KEY, Fixture.TIMEOUT_MILLIS);
    return fixture.decider.onCall(
        fixture.now,
        new CallSpec(
            1_000 + ++lastNumber,
            spec.id(),
            spec.host(),
            spec.path(),
            spec.key(),
            spec.deadlineMillis(),
            spec.promptTokens(),
            spec.maxOutputTokens(),
            spec.expectedOutputTokens(),
            spec.lastEventId(),
            List.of(parts)));
  }
}
