package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.LoggerFactory;

/**
 * Each request that an entry has read whole ends in one line with its id, and is counted once. The
 * ids of the requests tell the endpoint what to do.
 */
@Timeout(60)
class CallEndLogTest {

  private static final String SERVICE = "s";
  private static final long KEY_AGE_MILLIS = 60_000;
  private static final long TIMEOUT_MILLIS = 15_000;
  private static final long SILENCE_MILLIS = 12_000;
  private static final long SETTLE_MILLIS = 300;
  private static final long WAIT_MILLIS = 5_000;
  private static final long POLL_MILLIS = 20;

  /** Long enough to count as a stall of the process. */
  private static final long STALL_MILLIS = 700;

  private static final int PIPELINED_REQUESTS = 18;
  private static final Pattern END =
      Pattern.compile("(answered|refuse|cut|gone) subject=(\\S+) .*");

  private final ListAppender<ILoggingEvent> logAppender = new ListAppender<>();
  private final Logger decisionLogger = (Logger) LoggerFactory.getLogger("decisions");
  private final CompletableFuture<EventLoop> entryLoop = new CompletableFuture<>();
  private ScriptedEndpoint endpoint;
  private DirectEntryDaemon entry;
  private String address;
  private String operators;

  @BeforeEach
  void start() throws IOException {
    endpoint = new ScriptedEndpoint(CallEndLogTest::answer);
    address = EntryFixture.freeAddress();
    operators = EntryFixture.freeAddress();
    ServingStateSource source =
        EntryFixture.fixedState(
            EntryFixture.streamConfig(SERVICE, TIMEOUT_MILLIS),
            List.of(EntryFixture.endpointSpec("i0", SERVICE, endpoint.port())));
    entry =
        new DirectEntryDaemon(
            EntryFixture.settings(
                address, EntryFixture.freeAddress(), "", operators, KEY_AGE_MILLIS),
            EntryFixture.HEADER_NAMES,
            (loop, client, clock, listener) -> {
              source.start(loop, client, clock, listener);
              entryLoop.complete(loop);
            },
            1);
    logAppender.start();
    decisionLogger.addAppender(logAppender);
    entry.start();
  }

  @AfterEach
  void stop() throws IOException {
    decisionLogger.detachAppender(logAppender);
    entry.close();
    endpoint.close();
  }

  private static boolean answer(Map<String, String> request, ScriptedEndpoint.Output out)
      throws IOException {
    String id = request.get("x-id");
    out.pause(id.startsWith("silent") ? SILENCE_MILLIS : 0);
    out.write(ScriptedEndpoint.streamHead(request) + ScriptedEndpoint.event(1));
    if (id.startsWith("broken")) {
      out.pause(SETTLE_MILLIS);
      return false;
    }
    out.write(ScriptedEndpoint.lastChunk());
    return true;
  }

  /** Guards against requests whose ends are written twice or counted otherwise. */
  @Test
  void logsResponsesOfEndpoints() throws Exception {
    call("a");
    call("broken-b");
    assertThat(awaitEnds(2)).containsExactlyInAnyOrder("answered a", "cut broken-b");
    assertCounts(2, 1, 0, 1, 0, 0);
  }

  /** Failure: a call that a draining entry rejected had no line. */
  @Test
  void logsCallsRejectedDuringDrain() throws Exception {
    assertThat(entry.drain()).isTrue();
    assertThat(call("late")).startsWith("HTTP/1.1 503 ");
    assertThat(awaitEnds(1)).containsExactly("refuse late");
    assertCounts(1, 0, 1, 0, 0, 0);
  }

  /** Failure: a caller that left before the entry decided on its call had no line. */
  @Test
  void logsCallersThatLeaveDuringStall() throws Exception {
    try (Socket caller = connect()) {
      TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
      entryLoop.get().execute(() -> pause(STALL_MILLIS));
      TimeUnit.MILLISECONDS.sleep(STALL_MILLIS / 4);
      send(caller, StreamFixture.request("left", true));
    }
    assertThat(awaitEnds(1)).containsExactly("gone left");
    assertThat(endpoint.requests).isEmpty();
    assertCounts(1, 0, 0, 0, 1, 0);
  }

  /** Failure: requests that were read behind another one had no line if their caller left. */
  @Test
  void logsPipelinedRequestsOfCallersThatLeave() throws Exception {
    try (Socket caller = connect()) {
      StringBuilder requests = new StringBuilder();
      for (int i = 0; i < PIPELINED_REQUESTS; i++) {
        requests.append(StreamFixture.request("silent-" + i, true));
      }
      send(caller, requests.toString());
      TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
      assertCounts(PIPELINED_REQUESTS, 0, 0, 0, 0, PIPELINED_REQUESTS);
    }
    List<String> expected = new ArrayList<>();
    for (int i = 0; i < PIPELINED_REQUESTS; i++) {
      expected.add("gone silent-" + i);
    }
    assertThat(awaitEnds(PIPELINED_REQUESTS)).containsExactlyInAnyOrderElementsOf(expected);
    assertCounts(PIPELINED_REQUESTS, 0, 0, 0, PIPELINED_REQUESTS, 0);
  }

  /** Failure: requests read behind a response that the entry broke off had no line. */
  @Test
  void logsPipelinedRequestsBehindBrokenResponse() throws Exception {
    try (Socket caller = connect()) {
      send(caller, StreamFixture.request("broken-a", true) + StreamFixture.request("behind", true));
      assertThat(awaitEnds(2)).containsExactlyInAnyOrder("cut broken-a", "cut behind");
    }
    assertCounts(2, 0, 0, 2, 0, 0);
  }

  /**
   * Failure: a request that was too large had no line; it was not read whole and is not counted.
   */
  @Test
  void logsRejectedRequests() throws Exception {
    try (Socket caller = connect()) {
      send(
          caller,
          StreamFixture.request("large", true)
              .replace("Content-Length: 2", "Content-Length: 999999999")
              .concat("x".repeat(8_000_000)));
      assertThat(awaitEnds(1)).containsExactly("refuse large");
    } catch (SocketException e) {
      assertThat(awaitEnds(1)).containsExactly("refuse large");
    }
    assertCounts(0, 0, 0, 0, 0, 0);
  }

  private void assertCounts(int read, int answered, int refused, int cut, int gone, int open)
      throws Exception {
    MetricsPage page = new MetricsPage(fetchMetrics());
    assertThat(page.value("calls_read_total")).as("read").isEqualTo(read);
    assertThat(page.value("calls_ended_answered_total")).as("answered").isEqualTo(answered);
    assertThat(page.value("calls_ended_refused_total")).as("refused").isEqualTo(refused);
    assertThat(page.value("calls_ended_cut_total")).as("cut").isEqualTo(cut);
    assertThat(page.value("calls_ended_gone_total")).as("gone").isEqualTo(gone);
    assertThat(page.value("calls_open")).as("open").isEqualTo(open);
  }

  private String fetchMetrics() throws Exception {
    URI uri = URI.create("http://" + operators + "/metrics");
    return HttpClient.newHttpClient()
        .send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString())
        .body();
  }

  /** Waits for a number of lines on ends of requests, and a little longer for any others. */
  private List<String> awaitEnds(int count) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (ends().size() < count && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    return ends();
  }

  private List<String> ends() {
    List<String> ends = new ArrayList<>();
    synchronized (logAppender) {
      for (ILoggingEvent event : logAppender.list) {
        Matcher line = END.matcher(event.getFormattedMessage());
        if (line.matches()) {
          ends.add(line.group(1) + " " + line.group(2));
        }
      }
    }
    return ends;
  }

  private String call(String id) throws IOException {
    try (Socket caller = connect()) {
      send(caller, StreamFixture.request(id, false));
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  private Socket connect() throws IOException {
    int colon = address.indexOf(':');
    return new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private static void send(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The page with the metrics. */
  private record MetricsPage(String text) {

    /** Returns the value of a metric, -1 if there is none. */
    double value(String name) {
      Matcher line =
          Pattern.compile("^cornelchute_" + name + " (\\S+)$", Pattern.MULTILINE).matcher(text);
      return line.find() ? Double.parseDouble(line.group(1)) : -1;
    }
  }
}
