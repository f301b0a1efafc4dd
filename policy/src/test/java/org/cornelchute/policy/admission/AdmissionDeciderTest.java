package org.cornelchute.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.message.ServingMessage.Dispatch;
import org.cornelchute.core.message.ServingMessage.NotRunReason;
import org.cornelchute.core.model.Generation;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.rules.RulesParser;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionDeciderTest {

  private static final long BOOT = 9;
  private static final long CONNECTION = 1;
  private static final Generation SERVED = new Generation("m", "manifest", 3);
  private static final Rules RULES = RulesParser.parse(1, "weight a 1 # asked: t\n").get();

  private final AdmissionDecider decider =
      new AdmissionDecider("agent", BOOT, true, AdmissionOptions.DEFAULTS);

  private static Dispatch dispatch(String id, long boot, Generation generation) {
    return new Dispatch(
        id,
        1,
        boot,
        generation,
        "a",
        10,
        0,
        10,
        true,
        true,
        0,
        60_000,
        "POST",
        "/",
        "",
        new byte[0]);
  }

  private void startServing() {
    decider.setRules(0, RULES, false);
    decider.setServing(0, true, SERVED);
  }

  private static List<Message> replies(List<AdmissionEffect> effects) {
    List<Message> replies = new ArrayList<>();
    for (AdmissionEffect effect : effects) {
      if (effect instanceof AdmissionEffect.Reply reply) {
        replies.add(reply.message());
      }
    }
    return replies;
  }

  private static NotRunReason refusalReason(List<AdmissionEffect> effects) {
    assertThat(effects).noneMatch(e -> e instanceof AdmissionEffect.Forward);
    return ((ServingMessage.NotRun) replies(effects).get(0)).reason();
  }

  @Nested
  class Refuses {

    @Test
    void everyRequestBeforeRulesAreKnown() {
      decider.setServing(0, true, SERVED);
      assertThat(refusalReason(decider.onDispatch(1, CONNECTION, dispatch("r", BOOT, SERVED))))
          .isEqualTo(NotRunReason.NO_RULES);
    }

    @Test
    void requestForAnotherAgentIncarnation() {
      startServing();
      assertThat(refusalReason(decider.onDispatch(1, CONNECTION, dispatch("r", BOOT - 1, SERVED))))
          .isEqualTo(NotRunReason.OTHER_INCARNATION);
    }

    @Test
    void requestForAnotherGeneration() {
      startServing();
      Generation other = new Generation("m", "manifest", 2);
      assertThat(refusalReason(decider.onDispatch(1, CONNECTION, dispatch("r", BOOT, other))))
          .isEqualTo(NotRunReason.GENERATION);
    }

    @Test
    void newAndQueuedRequestsWhileTheDomainIsOutOfService() {
      startServing();
      for (int i = 0; i < 3; i++) {
        decider.onDispatch(1, CONNECTION, dispatch("r" + i, BOOT, SERVED));
      }
      List<Message> refused = replies(decider.setRules(2, RULES, true));
      assertThat(((ServingMessage.NotRun) refused.get(0)).reason())
          .isEqualTo(NotRunReason.DOMAIN_OUT);
      assertThat(refusalReason(decider.onDispatch(3, CONNECTION, dispatch("x", BOOT, SERVED))))
          .isEqualTo(NotRunReason.DOMAIN_OUT);
      assertThat(decider.runningCount()).isEqualTo(2);
    }

    @Test
    void newRequestsWhileLeavingAndCompletesRunningOnes() {
      startServing();
      decider.onDispatch(1, CONNECTION, dispatch("r", BOOT, SERVED));
      decider.leave(2);
      assertThat(refusalReason(decider.onDispatch(3, CONNECTION, dispatch("x", BOOT, SERVED))))
          .isEqualTo(NotRunReason.LEAVING);
      assertThat(decider.isIdle()).isFalse();
      decider.onAnswerHead(4, new AttemptKey("r", 1), 200, "", "manifest");
      List<Message> answer = replies(decider.onAnswerEnd(5, new AttemptKey("r", 1), true, 1));
      assertThat(((ServingMessage.AnswerEnd) answer.get(0)).complete()).isTrue();
      assertThat(decider.isIdle()).isTrue();
    }
  }

  @Nested
  class EnforcesTheLimit {

    private int dispatchAndCountRunning(int offered, long now) {
      for (int i = 0; i < offered; i++) {
        decider.onDispatch(now, CONNECTION, dispatch("r" + now + "-" + i, BOOT, SERVED));
      }
      return decider.runningCount();
    }

    private void complete(long now, int count) {
      for (int i = 0; i < count; i++) {
        AttemptKey key = new AttemptKey("r" + now + "-" + i, 1);
        decider.onAnswerHead(now, key, 200, "", "manifest");
        decider.onAnswerEnd(now, key, true, 10);
      }
    }

    @Test
    void startsAtColdLimitAndGrowsOnlyWithCompletedRequests() {
      startServing();
      assertThat(dispatchAndCountRunning(10, 1)).isEqualTo(AdmissionOptions.DEFAULTS.coldLimit());
      complete(1, 10);
      assertThat(decider.load().limit()).isGreaterThan(AdmissionOptions.DEFAULTS.coldLimit());
    }

    @Test
    void growsByOnePerCompletionBelowReportedCapacity() {
      startServing();
      decider.onEndpointStatus(1, "boot-1", 8);
      dispatchAndCountRunning(10, 2);
      complete(2, 2);
      assertThat(decider.load().limit()).isEqualTo(4);
    }

    @Test
    void neverExceedsReportedCapacity() {
      startServing();
      decider.onEndpointStatus(1, "boot-1", 1);
      assertThat(dispatchAndCountRunning(10, 2)).isEqualTo(1);
    }

    @Test
    void returnsToColdLimitWhenTheEngineRestarts() {
      startServing();
      decider.onEndpointStatus(1, "boot-1", 0);
      for (int i = 1; i < 20; i++) {
        dispatchAndCountRunning(8, i);
        complete(i, 8);
      }
      assertThat(decider.load().limit()).isGreaterThan(4);
      decider.onEndpointStatus(30, "boot-2", 0);
      assertThat(decider.load().limit()).isEqualTo(AdmissionOptions.DEFAULTS.coldLimit());
    }
  }

  @Test
  void discardsAnswerFromUnexpectedManifest() {
    startServing();
    decider.onDispatch(1, CONNECTION, dispatch("r", BOOT, SERVED));
    List<AdmissionEffect> effects =
        decider.onAnswerHead(2, new AttemptKey("r", 1), 200, "", "other-manifest");
    assertThat(effects).anyMatch(e -> e instanceof AdmissionEffect.Abort);
    assertThat(replies(effects))
        .allMatch(m -> m instanceof ServingMessage.AnswerEnd end && !end.complete());
  }

  @Test
  void reportsRequestRefusedByOverloadedEngineAsNotRun() {
    startServing();
    decider.onDispatch(1, CONNECTION, dispatch("r", BOOT, SERVED));
    List<AdmissionEffect> effects = decider.onAnswerHead(2, new AttemptKey("r", 1), 503, "", "");
    assertThat(refusalReason(effects)).isEqualTo(NotRunReason.BUSY);
    assertThat(decider.runningCount()).isZero();
  }
}
