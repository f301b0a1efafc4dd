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

/** Event streams that break off after some events, and what the next endpoint answers. */
class ResumedResponseTest {

  private static final String STREAM = "text/event-stream";
  private static final Generation GENERATION = new Generation("m", "w", 1);
  private static final Load LOAD = new Load(4, 0, 0, true, GENERATION, 1);
  private static final long TICK_MILLIS = 50;

  private final List<RoutingEffect> effects = new ArrayList<>();
  private RequestDecider decider;
  private long now = 1;

  private void setUp(int maxAttempts) {
    RoutingOptions o = RoutingOptions.DEFAULTS;
    decider =
        new RequestDecider(
            "entry",
            "r1",
            new RoutingOptions(
                o.queueCapacity(),
                o.maxWaitMillis(),
                o.noEndpointTimeoutMillis(),
                o.subsetSize(),
                o.retryRatio(),
                maxAttempts,
                o.sealTimeoutMillis(),
                o.maxBufferedBytes(),
                o.strategy()),
            1);
    decider.updateRules(0, RulesParser.parse(1, "weight a 10 # asked: t\n").get());
    for (String id : List.of("a1", "a2", "a3")) {
      Member member = new Member(id, Role.AGENT, id, "r1", "d", "", 1, 1, false, GENERATION, "w");
      decider.updateMember(0, member, Health.ALIVE);
      decider.onMessage(0, id, new ControlMessage.LoadReport(id, LOAD));
    }
    effects.addAll(
        decider.onRequest(
            now,
            new RequestSpec(
                "q",
                "a",
                new Target(true, "m"),
                true,
                true,
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
                new byte[0])));
  }

  private void onMessage(String agent, ServingMessage message) {
    effects.addAll(decider.onMessage(++now, agent, message));
  }

  /** Waits until an attempt is dispatched, and returns its agent. */
  private String nextAgent(int attempt) {
    for (int i = 0; i < 100; i++) {
      for (RoutingEffect effect : effects) {
        if (effect instanceof RoutingEffect.Send send
            && send.message() instanceof ServingMessage.Dispatch dispatch
            && dispatch.attempt() == attempt) {
          assertThat(dispatch.resumeAfter()).isEqualTo(attempt == 1 ? 0 : 2);
          return send.agent();
        }
      }
      now += TICK_MILLIS;
      effects.addAll(decider.tick(now));
    }
    throw new AssertionError("attempt " + attempt + " was not dispatched");
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Failure: comments and blank lines counted as events that the next endpoint has to skip, so that
   * as many events were missing from the stream.
   */
  @Test
  void skipsOnlyEventsWithData() {
    setUp(2);
    String agent = nextAgent(1);
    onMessage(agent, new ServingMessage.AnswerHead("q", 1, 200, STREAM, GENERATION));
    String body = ": ping\n\ndata: 1\n\n\n\n: ping\n\nretry: 9\n\nid: 2\ndata: 2\n\n";
    onMessage(agent, new ServingMessage.AnswerPart("q", 1, 0, bytes(body)));
    effects.addAll(decider.onConnectionLost(++now, agent));
    nextAgent(2);
  }
}
