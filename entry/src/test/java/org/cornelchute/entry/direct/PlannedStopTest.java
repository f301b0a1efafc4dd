package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cornelchute.policy.forward.CallKind;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An entry that is asked to stop, in calm, while callers go on sending until it has ended: on
 * connections that they keep, two requests at a time, and on new ones.
 */
@Timeout(60)
class PlannedStopTest {

  /** Time after the start of a stop from which on a call might not end before the process does. */
  private static final long LAST_ACCEPTED_MILLIS = 3_000;

  private static final int CALLERS = 12;
  private static final long WARM_UP_MILLIS = 400;

  /** A call and what became of it. */
  private static final class Sent {
    private final String id;
    private final long sentAtNanos = System.nanoTime();
    private volatile boolean answered;

    Sent(String id) {
      this.id = id;
    }
  }

  private final List<Sent> calls = new CopyOnWriteArrayList<>();
  private final Set<String> arrived = ConcurrentHashMap.newKeySet();
  private volatile boolean ended;

  @ParameterizedTest
  @CsvSource({
    "NON_IDEMPOTENT, 40, 900, 1",
    "IDEMPOTENT, 40, 900, 2",
    "NON_IDEMPOTENT, 2000, 3400, 3"
  })
  void answersEachCallThatItSent(CallKind kind, int minMillis, int maxMillis, long seed)
      throws Exception {
    Random random = new Random(seed);
    ExecutorService threads = Executors.newCachedThreadPool();
    List<Future<?>> callers = new ArrayList<>();
    long stoppedAtNanos;
    try (ScriptedEndpoint endpoint =
            new ScriptedEndpoint(
                (request, output) -> {
                  arrived.add(request.get("x-id"));
                  output.pause(delayOf(request, minMillis, maxMillis)).write(answer(request));
                  return true;
                });
        StreamFixture fixture = new StreamFixture(kind, endpoint)) {
      for (int i = 0; i < CALLERS; i++) {
        int caller = i;
        boolean keepsConnection = i % 3 > 0;
        int together = i % 3 == 2 ? 2 : 1;
        callers.add(threads.submit(() -> callUntilEnd(fixture, caller, keepsConnection, together)));
      }
      TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS + random.nextInt(200));
      stoppedAtNanos = System.nanoTime();
      fixture.drain();
      ended = true;
    }
    for (Future<?> caller : callers) {
      caller.get();
    }
    threads.shutdown();
    assertThat(arrived).hasSizeGreaterThan(CALLERS);
    for (Sent call : calls) {
      if (arrived.contains(call.id)) {
        assertThat(call.answered).as("call %s was answered", call.id).isTrue();
        assertThat(TimeUnit.NANOSECONDS.toMillis(call.sentAtNanos - stoppedAtNanos))
            .as("time of call %s after the start of the stop", call.id)
            .isLessThan(LAST_ACCEPTED_MILLIS);
      }
    }
  }

  private static long delayOf(Map<String, String> request, int minMillis, int maxMillis) {
    return minMillis + Math.floorMod(request.get("x-id").hashCode() * 31L, maxMillis - minMillis);
  }

  private static String answer(Map<String, String> request) {
    return ScriptedEndpoint.head("200 OK", request, "x-signature: s", "Content-Length: 2") + "ok";
  }

  private void callUntilEnd(
      StreamFixture fixture, int caller, boolean keepsConnection, int together) {
    int number = 0;
    while (!ended) {
      try (Socket socket = fixture.connect()) {
        do {
          List<Sent> sent = new ArrayList<>();
          for (int i = 0; i < together; i++) {
            sent.add(new Sent(caller + "-" + number++));
          }
          calls.addAll(sent);
          StringBuilder requests = new StringBuilder();
          sent.forEach(s -> requests.append(StreamFixture.request(s.id, keepsConnection)));
          socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
          for (Sent s : sent) {
            s.answered = StreamFixture.readResponse(socket.getInputStream());
          }
        } while (keepsConnection && !ended);
      } catch (IOException e) {
        // The entry closed the connection; whether it had sent a call is checked at the end.
        pause();
      }
    }
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(10);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
