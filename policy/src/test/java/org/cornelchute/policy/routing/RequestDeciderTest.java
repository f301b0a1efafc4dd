package org.cornelchute.policy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.policy.rules.RulesParser;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestDeciderTest {

  private static final Target MODEL = new Target(true, "m");
  private final RequestDecider decider =
      new RequestDecider("entry", "r1", RoutingOptions.DEFAULTS, 1);

  @BeforeEach
  void setUpRules() {
    decider.updateRules(0, RulesParser.parse(1, "weight a 10 # asked: t\n").get());
  }

  private void addAgent(String id, String region, String manifest, int limit) {
    Generation generation = new Generation("m", manifest, 1);
    Member member =
        new Member(id, Role.AGENT, id, region, "d-" + id, "", 1, 1, false, generation, manifest);
    decider.updateMember(0, member, Health.ALIVE);
    decider.onMessage(
        0, id, new ControlMessage.LoadReport(id, new Load(limit, 0, 0, true, generation, 1)));
  }

  private List<RoutingEffect> sendRequest(String id, boolean stream) {
    return decider.onRequest(
        1,
        new RequestSpec(
            id,
            "a",
            MODEL,
            true,
            stream,
            0,
            10,
            10,
            0,
            30_000,
            "",
            "",
            "POST",
            "/",
            "",
            new byte[0]));
  }

  private static List<ServingMessage.Dispatch> dispatches(List<RoutingEffect> effects) {
    List<ServingMessage.Dispatch> found = new ArrayList<>();
    for (RoutingEffect e : effects) {
      if (e instanceof RoutingEffect.Send s && s.message() instanceof ServingMessage.Dispatch d) {
        found.add(d);
      }
    }
    return found;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private Load load(String manifest) {
    return new Load(4, 0, 0, true, new Generation("m", manifest, 1), 1);
  }

  @Nested
  class DeliversOnlyCompleteResponses {

    @Test
    void ignoresFramesOfAnEarlierAttempt() {
      addAgent("a1", "r1", "w", 4);
      sendRequest("q", false);
      decider.onMessage(2, "a1", new ServingMessage.AnswerHead("q", 0, 200, "", Generation.NONE));
      List<RoutingEffect> effects =
          decider.onMessage(
              3, "a1", new ServingMessage.AnswerEnd("q", 0, 0, 0, true, 0, load("w")));
      assertThat(effects).noneMatch(e -> e instanceof RoutingEffect.CompleteResponse);
    }

    @Test
    void deliversPartRepeatedByReplayOnce() {
      addAgent("a1", "r1", "w", 4);
      sendRequest("q", false);
      decider.onMessage(2, "a1", new ServingMessage.AnswerHead("q", 1, 200, "", Generation.NONE));
      decider.onMessage(3, "a1", new ServingMessage.AnswerPart("q", 1, 0, bytes("once")));
      decider.onMessage(4, "a1", new ServingMessage.AnswerPart("q", 1, 0, bytes("once")));
      List<RoutingEffect> end =
          decider.onMessage(
              5, "a1", new ServingMessage.AnswerEnd("q", 1, 1, 4, true, 0, load("w")));
      assertThat(end).filteredOn(e -> e instanceof RoutingEffect.AppendResponse).hasSize(1);
      assertThat(end).anyMatch(e -> e instanceof RoutingEffect.CompleteResponse);
    }

    @Test
    void retriesWhenPartsAreMissing() {
      addAgent("a1", "r1", "w", 4);
      sendRequest("q", false);
      decider.onMessage(2, "a1", new ServingMessage.AnswerHead("q", 1, 200, "", Generation.NONE));
      decider.onMessage(3, "a1", new ServingMessage.AnswerPart("q", 1, 1, bytes("second")));
      List<RoutingEffect> end =
          decider.onMessage(
              4, "a1", new ServingMessage.AnswerEnd("q", 1, 2, 11, true, 0, load("w")));
      assertThat(end).noneMatch(e -> e instanceof RoutingEffect.CompleteResponse);
      assertThat(dispatches(decider.tick(2_000))).hasSize(1);
    }

    @Test
    void resumesStreamAfterLastCompleteEventOnSameWeights() {
      addAgent("a1", "r1", "w", 4);
      sendRequest("q", true);
      addAgent("b", "r1", "other", 4);
      addAgent("c", "r1", "w", 4);
      decider.onMessage(2, "a1", new ServingMessage.AnswerHead("q", 1, 200, "", Generation.NONE));
      List<RoutingEffect> part =
          decider.onMessage(
              3, "a1", new ServingMessage.AnswerPart("q", 1, 0, bytes("data: 1\n\ndata: 2")));
      assertThat(part)
          .anyMatch(
              e ->
                  e instanceof RoutingEffect.AppendResponse p
                      && new String(p.bytes(), StandardCharsets.UTF_8).equals("data: 1\n\n"));
      List<RoutingEffect> effects = new ArrayList<>(decider.onConnectionLost(4, "a1"));
      effects.addAll(decider.tick(100));
      ServingMessage.Dispatch retry = dispatches(effects).get(0);
      assertThat(retry.resumeAfter()).isEqualTo(1);
      assertThat(retry.generation().manifest()).isEqualTo("w");
    }
  }

  @Nested
  class RoutesRequests {

    @Test
    void toOwnRegionWhileItHasCapacity() {
      addAgent("near", "r1", "w", 1);
      addAgent("far", "r2", "w", 8);
      List<String> agents = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        for (RoutingEffect e : sendRequest("q" + i, false)) {
          if (e instanceof RoutingEffect.Send s) {
            agents.add(s.agent());
          }
        }
      }
      assertThat(agents).containsExactly("near", "near", "far", "far");
    }

    @Test
    void neverToDomainOutOfService() {
      addAgent("a1", "r1", "w", 4);
      decider.updateRules(1, RulesParser.parse(2, "out d-a1 # asked: t\n").get());
      assertThat(dispatches(sendRequest("q", false))).isEmpty();
    }

    @Test
    void withinRetryBudgetWhenTargetKeepsFailing() {
      addAgent("a1", "r1", "w", 1_000);
      int newRequests = 400;
      int sent = 0;
      for (int i = 0; i < newRequests; i++) {
        sent += dispatches(sendRequest("q" + i, false)).size();
      }
      for (long now = 10; now < 3_000; now += 10) {
        for (int i = 0; i < newRequests; i++) {
          for (int attempt = 1; attempt <= 4; attempt++) {
            sent +=
                dispatches(
                        decider.onMessage(
                            now,
                            "a1",
                            new ServingMessage.AnswerEnd(
                                "q" + i, attempt, 0, 0, false, 0, load("w"))))
                    .size();
          }
        }
        sent += dispatches(decider.tick(now)).size();
      }
      // New requests, retries by ratio, the burst, and one retry per second for three seconds.
      assertThat(sent).isLessThanOrEqualTo((int) (newRequests * 1.1) + 10 + 3);
    }
  }
}
