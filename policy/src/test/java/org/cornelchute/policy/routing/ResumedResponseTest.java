package org.cornelchute.policy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.message.ServingMessage.NotRunReason;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.policy.rules.RulesParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Event streams that break off after some events, and what the next endpoint answers. */
class ResumedResponseTest {

  private static final String STREAM = "text/event-stream";
  private static final String DELIVERED = "data: 1\n\ndata: 2\n\n";
  private static final String REST = "data: 3\n\ndata: [DONE]\n\n";
  private static final Generation GENERATION = new Generation("m", "w", 1);
  private static final Load LOAD = new Load(4, 0, 0, true, GENERATION, 1);
  private static final long TICK_MILLIS = 50;

  private final List<RoutingEffect> effects = new ArrayList<>();
  private RequestDecider decider;
  private long now = 1;

  /** Complete answers of an endpoint that do not continue a stream. */
  enum Answer {
    STATUS_500(500, "text/plain", "oops\n\n"),
    STATUS_404(404, STREAM, "data: oops\n\n"),
    STATUS_204(204, STREAM, ""),
    PLAIN_TEXT(200, "text/plain", "data: 3\n\n"),
    JSON(200, "application/json", "{\"error\": \"x\"}"),
    NO_TYPE(200, "", "data: 3\n\n"),
    JSON_AS_STREAM(200, STREAM, "{\"error\": \"x\"}"),
    JSON_BLOCK_AS_STREAM(200, STREAM, "{\"error\": \"x\"}\n\n"),
    HEAD_AS_STREAM(200, STREAM, "HTTP/1.1 500 Error\nContent-Length: 4\n\noops"),
    HEAD_LINES_AS_STREAM(200, STREAM, "Server: x\nContent-Length: 4\n\n"),
    EVENT_WITH_OTHER_LINE(200, STREAM, "data: 3\n{\"error\": \"x\"}\n\n"),
    EMPTY(200, STREAM, ""),
    ONLY_BLANK_LINES(200, STREAM, "\n\n\n\n"),
    ONLY_COMMENTS(200, STREAM, ": comment\n\n"),
    PART_OF_EVENT(200, STREAM, "data: 3");

    private final int status;
    private final String type;
    private final String body;

    Answer(int status, String type, String body) {
      this.status = status;
      this.type = type;
      this.body = body;
    }
  }

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

  /** Starts a stream that breaks off after some events, and waits for the next attempt. */
  private void breakOffStream(int maxAttempts) {
    setUp(maxAttempts);
    String agent = nextAgent(1);
    onMessage(agent, new ServingMessage.AnswerHead("q", 1, 200, STREAM, GENERATION));
    onMessage(agent, new ServingMessage.AnswerPart("q", 1, 0, bytes(DELIVERED + "data")));
    effects.addAll(decider.onConnectionLost(++now, agent));
  }

  private void onMessage(String agent, ServingMessage message) {
    effects.addAll(decider.onMessage(++now, agent, message));
  }

  /** Lets the endpoint of an attempt answer completely. */
  private void answer(int attempt, int status, String type, String body) {
    String agent = nextAgent(attempt);
    onMessage(agent, new ServingMessage.AnswerHead("q", attempt, status, type, GENERATION));
    onMessage(agent, new ServingMessage.AnswerPart("q", attempt, 0, bytes(body)));
    onMessage(agent, new ServingMessage.AnswerEnd("q", attempt, 1, body.length(), true, 1, LOAD));
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

  private String deliveredText() {
    StringBuilder text = new StringBuilder();
    for (RoutingEffect effect : effects) {
      if (effect instanceof RoutingEffect.AppendResponse part) {
        text.append(new String(part.bytes(), StandardCharsets.UTF_8));
      }
    }
    return text.toString().replace(": comment\n\n", "");
  }

  private boolean has(Class<? extends RoutingEffect> type) {
    return effects.stream().anyMatch(type::isInstance);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Failure: the stream was continued with bytes that are no part of it, or ended as complete, when
   * the next endpoint answered with something else.
   */
  @ParameterizedTest
  @EnumSource(Answer.class)
  void abortsIfTheLastAttemptDoesNotContinue(Answer answer) {
    breakOffStream(2);
    answer(2, answer.status, answer.type, answer.body);
    assertThat(deliveredText()).isEqualTo(DELIVERED);
    assertThat(has(RoutingEffect.CompleteResponse.class)).isFalse();
    assertThat(has(RoutingEffect.AbortResponse.class)).isTrue();
    assertThat(decider.openRequestCount()).isZero();
  }

  /** Failure: as above, or the stream was aborted, although an attempt was left. */
  @ParameterizedTest
  @EnumSource(Answer.class)
  void resumesAgainIfTheNextAttemptDoesNotContinue(Answer answer) {
    breakOffStream(3);
    answer(2, answer.status, answer.type, answer.body);
    assertThat(has(RoutingEffect.AbortResponse.class)).isFalse();
    answer(3, 200, STREAM, REST);
    assertThat(deliveredText()).isEqualTo(DELIVERED + REST);
    assertThat(has(RoutingEffect.CompleteResponse.class)).isTrue();
    assertThat(has(RoutingEffect.AbortResponse.class)).isFalse();
  }

  /** Guards against a sound continuation that is taken for something else. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        REST,
        ": ping\n\n" + REST,
        "event: a\nid: 3\ndata: 3\ndata\n\nretry: 5\n\n",
        "data: HTTP/1.1 500 Error\n\n",
        "data: 3\n\n\ndata: 4\n\n\n"
      })
  void continuesStream(String rest) {
    breakOffStream(2);
    answer(2, 200, "Text/Event-Stream; charset=utf-8", rest);
    assertThat(deliveredText()).isEqualTo(DELIVERED + rest);
    assertThat(has(RoutingEffect.CompleteResponse.class)).isTrue();
  }

  /** Guards against an agent's refusal that ends a stream, with an attempt left or as the last. */
  @ParameterizedTest
  @CsvSource({"GENERATION,2", "BUSY,2", "ENDPOINT_DOWN,3"})
  void goesOnAfterRefusal(NotRunReason reason, int maxAttempts) {
    breakOffStream(maxAttempts);
    onMessage(nextAgent(2), new ServingMessage.NotRun("q", 2, reason, LOAD));
    assertThat(deliveredText()).isEqualTo(DELIVERED);
    assertThat(has(RoutingEffect.Refuse.class)).isFalse();
    answer(3, 200, STREAM, REST);
    assertThat(deliveredText()).isEqualTo(DELIVERED + REST);
    assertThat(has(RoutingEffect.CompleteResponse.class)).isTrue();
  }

  /**
   * Failure: a stream that broke off after its last event was resumed, and its last event came
   * twice.
   */
  @Test
  void completesStreamThatLacksOnlyItsEnd() {
    setUp(3);
    String agent = nextAgent(1);
    onMessage(agent, new ServingMessage.AnswerHead("q", 1, 200, STREAM, GENERATION));
    onMessage(agent, new ServingMessage.AnswerPart("q", 1, 0, bytes(DELIVERED + REST)));
    effects.addAll(decider.onConnectionLost(++now, agent));
    effects.addAll(decider.tick(now + 1_000));
    assertThat(deliveredText()).isEqualTo(DELIVERED + REST);
    assertThat(has(RoutingEffect.CompleteResponse.class)).isTrue();
    assertThat(decider.openRequestCount()).isZero();
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
