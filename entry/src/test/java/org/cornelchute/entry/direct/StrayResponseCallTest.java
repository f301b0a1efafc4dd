package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelchute.policy.forward.CallKind;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Endpoints that send a response which belongs to no request, before two endpoints of a route whose
 * calls may run once at most.
 */
@Timeout(60)
class StrayResponseCallTest {

  private static final int CALLS = 3;
  private static final long PACKET_INTERVAL_MILLIS = 40;

  /** Time by which an endpoint has read a request that an entry has sent it. */
  private static final long SETTLING_MILLIS = 150;

  /** Statuses that promise callers that their request did not run and never will. */
  private static final Set<String> PROMISES = Set.of("408", "421", "429", "503");

  /** The id that a response which belongs to no request bears. */
  enum Id {
    OF_THE_CALL_BEFORE,
    NONE,
    EMPTY,
    OF_TWO_CALLS,

    /** The id of the call itself, after its response; before it, a refusal would be true. */
    OF_THE_CALL
  }

  /** What such a response says. */
  enum Status {
    REFUSED("503 Service Unavailable", true),
    MISDIRECTED("421 Misdirected Request", false),
    SUCCESS("200 OK", false);

    private final String line;
    private final boolean notExecuted;

    Status(String line, boolean notExecuted) {
      this.line = line;
      this.notExecuted = notExecuted;
    }
  }

  /** When the endpoint sends such a response. */
  enum Moment {
    ON_ACCEPT,
    IN_ONE_PACKET_BEFORE,
    IN_A_PACKET_BEFORE,
    IN_ONE_PACKET_AFTER,
    IN_A_PACKET_AFTER;

    boolean isAfterResponse() {
      return this == IN_ONE_PACKET_AFTER || this == IN_A_PACKET_AFTER;
    }
  }

  static List<Arguments> strays() {
    List<Arguments> strays = new ArrayList<>();
    for (Id id : Id.values()) {
      for (Status status : Status.values()) {
        for (Moment moment : Moment.values()) {
          if (id != Id.OF_THE_CALL || moment.isAfterResponse()) {
            strays.add(Arguments.of(id, status, moment));
          }
        }
      }
    }
    return strays;
  }

  /**
   * Failure: callers were told 'not run' for calls that an endpoint had run, or such a call ran at
   * a second endpoint.
   */
  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest
  @MethodSource("strays")
  void runsCallsOnceAndTellsTheTruthAboutThem(Id id, Status status, Moment moment)
      throws Exception {
    try (ScriptedEndpoint one = endpoint(id, status, moment);
        ScriptedEndpoint other = endpoint(id, status, moment);
        StreamFixture fixture = new StreamFixture(CallKind.NON_IDEMPOTENT, one, other)) {
      int succeeded = 0;
      for (int i = 1; i <= CALLS; i++) {
        String call = "c" + i;
        String response = fixture.call(call);
        TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
        long runs = countRuns(call, one) + countRuns(call, other);
        assertThat(runs).as("runs of a call told %s", response).isLessThanOrEqualTo(1);
        if (PROMISES.contains(statusOf(response))) {
          assertThat(runs).as("runs of a call told %s", response).isZero();
        }
        if (statusOf(response).equals("200")) {
          assertThat(response).endsWith("ran-" + call);
          succeeded++;
        }
      }
      if (id == Id.OF_THE_CALL_BEFORE || moment.isAfterResponse()) {
        assertThat(succeeded).isEqualTo(CALLS);
      }
    }
  }

  /** Starts an endpoint that runs every request that it has read. */
  private static ScriptedEndpoint endpoint(Id id, Status status, Moment moment) throws Exception {
    String greeting = moment == Moment.ON_ACCEPT ? stray(id, status, "c1") : "";
    return new ScriptedEndpoint(
        greeting,
        (request, output) -> {
          String own =
              ScriptedEndpoint.head("200 OK", request, "x-signature: signed", "Content-Length: 6")
                  + "ran-"
                  + request.get("x-id");
          String stray = stray(id, status, request.get("x-id"));
          switch (moment) {
            case IN_ONE_PACKET_BEFORE -> output.write(stray + own);
            case IN_A_PACKET_BEFORE -> output.write(stray).pause(PACKET_INTERVAL_MILLIS).write(own);
            case IN_ONE_PACKET_AFTER -> output.write(own + stray);
            case IN_A_PACKET_AFTER -> output.write(own).pause(PACKET_INTERVAL_MILLIS).write(stray);
            default -> output.write(own);
          }
          return true;
        });
  }

  private static String stray(Id id, Status status, String call) {
    String header =
        switch (id) {
          case OF_THE_CALL_BEFORE -> "x-id: before-" + call + "\r\n";
          case NONE -> "";
          case EMPTY -> "x-id:\r\n";
          case OF_THE_CALL -> "x-id: " + call + "\r\n";
          case OF_TWO_CALLS -> "x-id: " + call + "\r\nx-id: before-" + call + "\r\n";
        };
    return "HTTP/1.1 "
        + status.line
        + "\r\n"
        + header
        + (status.notExecuted ? "x-not-executed: 1\r\n" : "")
        + "x-signature: other\r\nContent-Length: 5\r\n\r\nother";
  }

  private static String statusOf(String response) {
    return response.length() < 12 ? "" : response.substring(9, 12);
  }

  private static long countRuns(String call, ScriptedEndpoint endpoint) {
    return endpoint.requests.stream().map(r -> r.get("x-id")).filter(call::equals).count();
  }
}
