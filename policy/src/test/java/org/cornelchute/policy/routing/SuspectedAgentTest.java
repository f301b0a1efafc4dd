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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An agent that is silent for two seconds and suspected meanwhile, and then goes on. */
class SuspectedAgentTest {

  private static final long DEADLINE_MILLIS = 30_000;
  private static final long TICK_MILLIS = 20;
  private static final long SILENCE_MILLIS = 2_100;
  private static final Generation GENERATION = new Generation("m", "w", 1);
  private static final Load LOAD = new Load(4, 0, 0, true, GENERATION, 1);
  private static final Member AGENT =
      new Member("a1", Role.AGENT, "a1", "r1", "d", "", 1, 1, false, GENERATION, "w");

  private final RequestDecider decider =
      new RequestDecider("entry", "r1", RoutingOptions.DEFAULTS, 1);

  private void send(boolean stream) {
    decider.updateRules(0, RulesParser.parse(1, "weight a 10 # asked: t\n").get());
    decider.updateMember(0, AGENT, Health.ALIVE);
    decider.onMessage(0, "a1", new ControlMessage.LoadReport("a1", LOAD));
    decider.onRequest(
        1,
        new RequestSpec(
            "q",
            "a",
            new Target(true, "m"),
            true,
            stream,
            0,
            10,
            10,
            0,
            DEADLINE_MILLIS,
            "",
            "",
            "POST",
            "/",
            "",
            new byte[0]));
    decider.onMessage(2, "a1", new ServingMessage.AnswerHead("q", 1, 200, "", GENERATION));
    decider.onMessage(3, "a1", part(0));
  }

  private static ServingMessage.AnswerPart part(int index) {
    byte[] bytes = ("data: " + index + "\n\n").getBytes(StandardCharsets.UTF_8);
    return new ServingMessage.AnswerPart("q", 1, index, bytes);
  }

  /**
   * Failure: the response of the only agent was canceled and the request ended, because the agent
   * was silent for two seconds and suspected, although no other one could take the request.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void deliversTheResponseOfTheOnlyAgent(boolean stream) {
    send(stream);
    decider.updateMember(100, AGENT, Health.SUSPECT);
    List<RoutingEffect> effects = new ArrayList<>();
    long now = 100;
    for (; now < SILENCE_MILLIS; now += TICK_MILLIS) {
      effects.addAll(decider.tick(now));
    }
    decider.updateMember(now, AGENT, Health.ALIVE);
    effects.addAll(decider.onMessage(now, "a1", part(1)));
    int length = part(0).bytes().length + part(1).bytes().length;
    effects.addAll(
        decider.onMessage(
            now, "a1", new ServingMessage.AnswerEnd("q", 1, 2, length, true, 2, LOAD)));
    assertThat(effects)
        .noneMatch(
            e -> e instanceof RoutingEffect.Send s && s.message() instanceof ServingMessage.Cancel);
    assertThat(effects).noneMatch(e -> e instanceof RoutingEffect.AbortResponse);
    assertThat(effects).anyMatch(e -> e instanceof RoutingEffect.CompleteResponse);
  }

  /** Guards against a request that waits for a silent agent although another one can take it. */
  @Test
  void sendsTheStreamToAnotherAgentThatCanTakeIt() {
    send(true);
    Member other = new Member("a2", Role.AGENT, "a2", "r1", "d", "", 1, 1, false, GENERATION, "w");
    decider.updateMember(90, other, Health.ALIVE);
    decider.onMessage(91, "a2", new ControlMessage.LoadReport("a2", LOAD));
    decider.updateMember(100, AGENT, Health.SUSPECT);
    List<RoutingEffect> effects = new ArrayList<>();
    for (long now = 100; now < SILENCE_MILLIS + 200; now += TICK_MILLIS) {
      effects.addAll(decider.tick(now));
    }
    assertThat(effects)
        .anyMatch(
            e ->
                e instanceof RoutingEffect.Send s
                    && s.message() instanceof ServingMessage.Dispatch
                    && s.agent().equals("a2"));
  }

  /** Guards against a request that waits until its deadline for an agent that is gone. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void givesUpTheResponseOfAnAgentThatIsDead(boolean stream) {
    send(stream);
    List<RoutingEffect> effects = new ArrayList<>(decider.updateMember(100, AGENT, Health.DEAD));
    for (long now = 100; now < DEADLINE_MILLIS / 2; now += TICK_MILLIS) {
      effects.addAll(decider.tick(now));
    }
    assertThat(effects)
        .anyMatch(
            e -> e instanceof RoutingEffect.AbortResponse || e instanceof RoutingEffect.Refuse);
  }
}
