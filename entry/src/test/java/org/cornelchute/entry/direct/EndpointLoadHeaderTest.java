package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import org.cornelchute.policy.forward.CallKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/** Load that endpoints state in the heads of their responses; over sockets. */
@Timeout(30)
class EndpointLoadHeaderTest {

  private static final int CALLS = 6;

  private final ListAppender<ILoggingEvent> readerLog = new ListAppender<>();
  private final ListAppender<ILoggingEvent> decisionLog = new ListAppender<>();
  private final Logger readerLogger = (Logger) LoggerFactory.getLogger(ResponseHeadReader.class);
  private final Logger decisionLogger = (Logger) LoggerFactory.getLogger("decisions");

  @BeforeEach
  void attach() {
    readerLog.start();
    decisionLog.start();
    readerLogger.addAppender(readerLog);
    decisionLogger.addAppender(decisionLog);
  }

  @AfterEach
  void detach() {
    readerLogger.detachAppender(readerLog);
    decisionLogger.detachAppender(decisionLog);
  }

  /** Sends calls to an endpoint that states a load, and returns what the entry logged about it. */
  private List<String> linesOnLoad(String... headers) throws Exception {
    try (ScriptedEndpoint endpoint =
            new ScriptedEndpoint(
                (request, output) -> {
                  String[] all = new String[headers.length + 2];
                  System.arraycopy(headers, 0, all, 0, headers.length);
                  all[headers.length] = "x-signature: s";
                  all[headers.length + 1] = "Content-Length: 0";
                  output.write(ScriptedEndpoint.head("200 OK", request, all));
                  return true;
                });
        StreamFixture fixture = new StreamFixture(CallKind.IDEMPOTENT, endpoint)) {
      for (int i = 0; i < CALLS; i++) {
        assertThat(fixture.call("c" + i)).startsWith("HTTP/1.1 200");
      }
      assertThat(endpoint.requests).hasSize(CALLS);
    }
    return readerLog.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
  }

  private List<String> dispatches() {
    return List.copyOf(decisionLog.list).stream()
        .map(ILoggingEvent::getFormattedMessage)
        .filter(line -> line.contains("allowed="))
        .toList();
  }

  /** Guards against: a header that cannot be read breaks calls, counts, or floods the log. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "7",
        "7,0",
        "7,0,8,250,1",
        "7,0,8,0",
        "7,0,8,10001",
        "-7,0,8",
        "7,0,8,-250",
        "seven,0,8",
        "99999999999999999999,0,8,250"
      })
  void ignoresHeadersThatCannotBeReadWithOneLine(String load) throws Exception {
    assertThat(linesOnLoad("x-load: " + load)).hasSize(1).first().asString().contains("i0");
    assertThat(dispatches()).hasSizeGreaterThanOrEqualTo(CALLS);
    assertThat(dispatches()).noneMatch(line -> line.contains("slowdown="));
  }

  /** Guards against: headers that can be read, or are absent, are logged as unreadable. */
  @Test
  void logsNothingOnReadableHeaders() throws Exception {
    assertThat(linesOnLoad()).isEmpty();
    assertThat(linesOnLoad("x-load: 1,0,8")).isEmpty();
    assertThat(linesOnLoad("x-load: 1,0,8,100")).isEmpty();
    assertThat(dispatches()).noneMatch(line -> line.contains("slowdown="));
    assertThat(linesOnLoad("x-load: 1,0,8,250")).isEmpty();
    assertThat(dispatches()).anyMatch(line -> line.contains("slowdown=2."));
  }
}
