package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelchute.net.wire.ServerSockets;
import org.cornelchute.net.wire.WireClient;
import org.cornelchute.policy.forward.CallDecider;
import org.cornelchute.policy.forward.CallOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.LoggerFactory;

/** Calls in whose steps a collaborator of the entry throws an unexpected exception. */
@Timeout(60)
class InternalFailureTest {

  private static final String SERVICE = "s";
  private static final long TIMEOUT_MILLIS = 8_000;

  /** Less than the timeout of the route, by which any call ends. */
  private static final int PATIENCE_MILLIS = 3_000;

  private static final long SETTLE_MILLIS = 300;

  /** Long enough to count as a stall of the process. */
  private static final long STALL_MILLIS = 700;

  private static final Pattern END =
      Pattern.compile("(answered|refuse|cut|gone) subject=(\\S+) .*");

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final ListAppender<ILoggingEvent> logAppender = new ListAppender<>();
  private final Logger rootLogger =
      (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
  private final AtomicBoolean armed = new AtomicBoolean();
  private ScriptedEndpoint endpoint;
  private String address;
  private CallDecider decider;

  @BeforeEach
  void start() throws IOException {
    endpoint = new ScriptedEndpoint(this::answer);
    logAppender.start();
    rootLogger.addAppender(logAppender);
  }

  @AfterEach
  void stop() throws IOException {
    rootLogger.detachAppender(logAppender);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    endpoint.close();
  }

  /** Arms the clock at the step that the id of the request names. */
  private boolean answer(Map<String, String> request, ScriptedEndpoint.Output out)
      throws IOException {
    String id = request.get("x-id");
    if (id.startsWith("silent")) {
      out.pause(2 * TIMEOUT_MILLIS);
    }
    arm(id.equals("head"));
    out.write(ScriptedEndpoint.streamHead(request)).pause(SETTLE_MILLIS);
    arm(id.equals("content"));
    out.write(ScriptedEndpoint.event(1)).pause(SETTLE_MILLIS);
    arm(id.equals("end") || id.equals("failure"));
    if (id.equals("failure")) {
      return false;
    }
    out.write(ScriptedEndpoint.lastChunk());
    return true;
  }

  private void arm(boolean condition) {
    if (condition) {
      armed.set(true);
    }
  }

  /** Failure: a call whose request to the endpoint could not be built got no response. */
  @Test
  void rejectsCallThatCannotBeSent() throws Exception {
    startEntry(namesThatCannotBeSent(), new MetricRegistry());
    assertThat(call("unsent")).startsWith("HTTP/1.1 503 ");
    assertThat(ends()).containsExactly("refuse unsent");
    assertThat(errors()).anyMatch(line -> line.contains("id=unsent"));
  }

  /** Failure: as above, and nothing was logged, if the entry had been stalled. */
  @Test
  void rejectsCallThatCannotBeSentAfterStall() throws Exception {
    startEntry(namesThatCannotBeSent(), new MetricRegistry());
    try (Socket caller = connect()) {
      TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
      loop.execute(() -> pause(STALL_MILLIS));
      TimeUnit.MILLISECONDS.sleep(STALL_MILLIS / 4);
      assertThat(call(caller, "stalled")).startsWith("HTTP/1.1 503 ");
    }
    assertThat(ends()).containsExactly("refuse stalled");
    assertThat(errors()).anyMatch(line -> line.contains("id=stalled"));
  }

  /** Failure: a call waited for its deadline, if the handling of what an endpoint sent failed. */
  @ParameterizedTest
  @CsvSource({"head,refuse,HTTP/1.1 502", "content,cut,", "end,cut,", "failure,cut,"})
  void endsCallIfItsResponseCannotBeHandled(String step, String kind, String start)
      throws Exception {
    startEntry(EntryFixture.HEADER_NAMES, new MetricRegistry());
    String response = call(step);
    assertThat(response).startsWith(start == null ? "HTTP/1.1 200" : start);
    assertThat(StreamFixture.isComplete(response)).isFalse();
    assertThat(ends()).containsExactly(kind + " " + step);
    assertThat(errors()).anyMatch(line -> line.contains("id=" + step));
  }

  /** Failure: if the rejection of one call failed, others of the same sweep got no response. */
  @Test
  void rejectsOtherCallsOfTheSameSweep() throws Exception {
    AtomicBoolean failed = new AtomicBoolean();
    startEntry(
        EntryFixture.HEADER_NAMES,
        new MetricRegistry() {
          @Override
          public Meter meter(String name) {
            if (name.equals("calls.rejected.expired_sent") && !failed.getAndSet(true)) {
              throw new IllegalStateException("for the test");
            }
            return super.meter(name);
          }
        });
    try (Socket first = connect();
        Socket second = connect()) {
      for (Socket caller : List.of(first, second)) {
        caller.setSoTimeout((int) TIMEOUT_MILLIS + PATIENCE_MILLIS);
      }
      CompletableFuture<String> response =
          CompletableFuture.supplyAsync(() -> call(first, "silent-1"));
      assertThat(call(second, "silent-2")).startsWith("HTTP/1.1 50");
      assertThat(response.get()).startsWith("HTTP/1.1 50");
    }
    assertThat(ends()).containsExactlyInAnyOrder("refuse silent-1", "refuse silent-2");
  }

  /** Guards against calls that wait for their callers to leave, as the decider lost them. */
  @Test
  void endsCallThatTheDeciderDoesNotHold() throws Exception {
    startEntry(EntryFixture.HEADER_NAMES, new MetricRegistry());
    CompletableFuture<String> response =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return call("silent");
              } catch (IOException e) {
                return "(" + e + ")";
              }
            });
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    loop.submit(() -> decider.abandon(0, 1)).get();
    assertThat(response.get()).startsWith("HTTP/1.1 502 ");
    assertThat(ends()).containsExactly("refuse silent");
    assertThat(errors()).anyMatch(line -> line.contains("id=silent"));
  }

  /** Returns names of which one is refused when a request to an endpoint is built. */
  private static CallHeaderNames namesThatCannotBeSent() {
    CallHeaderNames names = EntryFixture.HEADER_NAMES;
    return new CallHeaderNames(
        names.requestId(),
        "no header name",
        names.expectedInstance(),
        names.expectedVersion(),
        names.workspace(),
        names.priority(),
        names.tokenCounts(),
        names.promptParts(),
        names.lengthHint(),
        names.lastEventId(),
        names.notExecuted(),
        names.responseSignature(),
        names.weightsVersion(),
        names.endpointLoad(),
        names.endpointLimit(),
        names.endpointLeaving());
  }

  private void startEntry(CallHeaderNames names, MetricRegistry metrics) throws Exception {
    address = EntryFixture.freeAddress();
    LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    WireClient client = new WireClient(group, clock, metrics);
    ServingStateSource source =
        EntryFixture.fixedState(
            EntryFixture.streamConfig(SERVICE, TIMEOUT_MILLIS),
            List.of(EntryFixture.endpointSpec("i0", SERVICE, endpoint.port())));
    CallOptions options =
        new CallOptions("e1", "d1", "r1", 60_000, 60_000, 60_000, 60_000, 1, 10, 1_000, 1, 1);
    decider = new CallDecider(options, 1, clock.getAsLong());
    CallDuty duty =
        new CallDuty(
            loop,
            client,
            decider,
            names,
            () -> readClock(clock),
            Optional.empty(),
            source,
            metrics);
    loop.submit(
            () -> {
              duty.start();
              source.start(loop, client, clock, duty);
            })
        .get();
    ServerSockets.listen(
        group,
        address,
        c -> c.pipeline().addLast(new HttpServerCodec(), new CallerConnection(duty)));
  }

  /** Reads a clock, which fails once it is armed and something is received from the endpoint. */
  private long readClock(LongSupplier clock) {
    boolean receiving =
        armed.get()
            && StackWalker.getInstance()
                .walk(frames -> frames.anyMatch(f -> f.getClassName().contains("AttemptListener")));
    if (receiving && armed.getAndSet(false)) {
      throw new IllegalStateException("for the test");
    }
    return clock.getAsLong();
  }

  private String call(String id) throws IOException {
    try (Socket caller = connect()) {
      return call(caller, id);
    }
  }

  /** Returns what a caller receives until its connection ends or its patience does. */
  private static String call(Socket caller, String id) {
    StringBuilder text = new StringBuilder();
    try {
      String request = StreamFixture.request(id, false);
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] buffer = new byte[4_096];
      for (int n = caller.getInputStream().read(buffer);
          n >= 0;
          n = caller.getInputStream().read(buffer)) {
        text.append(new String(buffer, 0, n, StandardCharsets.US_ASCII));
      }
    } catch (SocketTimeoutException e) {
      return "no end after " + text;
    } catch (IOException e) {
      text.append("(reset)");
    }
    return text.toString();
  }

  private Socket connect() throws IOException {
    int colon = address.indexOf(':');
    Socket caller =
        new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    caller.setSoTimeout(PATIENCE_MILLIS);
    return caller;
  }

  private List<String> ends() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
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

  private List<String> errors() {
    synchronized (logAppender) {
      return logAppender.list.stream()
          .filter(event -> event.getLevel() == Level.ERROR)
          .map(ILoggingEvent::getFormattedMessage)
          .toList();
    }
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
