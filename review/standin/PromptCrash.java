import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Cases 1 and 3: one part of a prompt crashes each replica that begins to write an answer on it.
 * The replica ends while it writes the head (case 1), or goes dark with its machine (case 3).
 *
 * <p>BUDGET: no more than three requests with such a part may reach replicas later than
 * stabilityWindowMs after the fifth crash.
 */
final class PromptCrash {

  private static final int REPLICAS = 8;
  private static final long STABILITY_WINDOW_MILLIS = 3_000;
  private static final long DOWN_MILLIS = 3_000;
  private static final long RUN_MILLIS = 40_000;
  private static final long SOUND_INTERVAL_MILLIS = 50;
  private static final long HARMFUL_INTERVAL_MILLIS = 700;
  private static final int CRASHES = 5;
  private static final int ALLOWED_ARRIVALS = 3;
  private static final String HARMFUL_PART = "badbad01";

  private PromptCrash() {}

  /** Arguments: root of the repository, file of the record, 0 for no trouble, head or dark. */
  public static void main(String[] args) throws IOException {
    Record record = new Record(Path.of(args[1]));
    boolean trouble = !args[2].equals("0");
    boolean dark = args[3].equals("dark");
    List<Long> crashTimes = new ArrayList<>();
    List<Long> arrivalTimes = new ArrayList<>();
    ReplicaStandin.Observer observer =
        new ReplicaStandin.Observer() {
          @Override
          public void onArrival(ReplicaStandin replica, HttpMessage request) {
            if (request.header("Cornelchute-Prefix-Hash", "").contains(HARMFUL_PART)) {
              synchronized (arrivalTimes) {
                arrivalTimes.add(record.millis());
              }
              record.line("harmful request reaches " + replica.name() + " " + id(request));
            }
          }

          @Override
          public void onRun(ReplicaStandin replica, HttpMessage request, long version) {
            record.line(replica.name() + " runs " + id(request));
          }

          @Override
          public boolean crashesAtBegin(
              ReplicaStandin replica, HttpMessage request, OutputStream out) throws IOException {
            String prefix = request.header("Cornelchute-Prefix-Hash", "");
            if (!trouble || !prefix.contains(HARMFUL_PART)) {
              return false;
            }
            if (!dark) {
              // The replica ends while it writes the head of its answer.
              out.write("HTTP/1.1 200 OK\r\nContent-".getBytes(StandardCharsets.US_ASCII));
              out.flush();
            }
            if (replica.crash(DOWN_MILLIS, dark)) {
              synchronized (crashTimes) {
                crashTimes.add(record.millis());
                record.line("crash " + crashTimes.size() + " of " + replica.name());
              }
            }
            return true;
          }
        };
    Deployment deployment = new Deployment(Path.of(args[0]), record);
    deployment.configure();
    for (int i = 0; i < REPLICAS; i++) {
      new ReplicaStandin(
          "127.0.0.1",
          "llm" + i,
          Deployment.MODEL_SERVICE,
          Deployment.MODEL,
          Deployment.ZONES.get(i % 3),
          deployment.store,
          observer);
    }
    for (String zone : Deployment.ZONES) {
      deployment.startEntry(zone);
    }
    deployment.awaitReady();
    Threads.sleep(STABILITY_WINDOW_MILLIS);
    Map<String, AtomicInteger> outcomes = new TreeMap<>();
    long end = record.millis() + RUN_MILLIS;
    send(deployment, "sound", SOUND_INTERVAL_MILLIS, end, outcomes);
    send(deployment, "harmful", HARMFUL_INTERVAL_MILLIS, end, outcomes);
    Threads.sleep(end - record.millis() + 1_000);
    outcomes.forEach((outcome, count) -> record.say(count + " x " + outcome));
    judge(deployment, crashTimes, arrivalTimes);
  }

  private static void judge(Deployment deployment, List<Long> crashes, List<Long> arrivals) {
    deployment.record.say("crashes: " + crashes.size());
    if (crashes.size() < CRASHES) {
      deployment.end(false, "fewer than five crashes");
    }
    long from = crashes.get(CRASHES - 1) + STABILITY_WINDOW_MILLIS;
    long late = arrivals.stream().filter(at -> at > from).count();
    deployment.end(
        late > ALLOWED_ARRIVALS,
        late
            + " requests with the part reached replicas later than 3 s after the fifth crash,"
            + " at most 3 may");
  }

  /** Sends requests at a fixed rate, to the entries in turn. */
  private static void send(
      Deployment deployment,
      String kind,
      long intervalMillis,
      long end,
      Map<String, AtomicInteger> outcomes) {
    Threads.start(
        kind,
        () -> {
          for (int i = 0; deployment.record.millis() < end; i++) {
            int number = i;
            Threads.start(kind, () -> sendOne(deployment, kind, number, outcomes));
            Threads.sleep(intervalMillis);
          }
        });
  }

  /** Sound requests share the first part and the key with harmful ones; no two are alike. */
  private static void sendOne(
      Deployment deployment, String kind, int number, Map<String, AtomicInteger> outcomes) {
    String requestId = kind + "-" + number;
    String middle = kind.equals("harmful") ? HARMFUL_PART + ":60," : "0a" + number % 10 + ":60,";
    deployment.record.line(requestId + " sent");
    String last = String.format("%08x:300", (kind + number).hashCode());
    String outcome =
        Client.call(
            deployment.entryAddresses.get(number % deployment.entryAddresses.size()),
            "POST",
            Deployment.STREAM_PATH + "x",
            Deployment.streamHeaders(requestId, "5c1e07a2:40," + middle + last),
            "{}".getBytes(StandardCharsets.UTF_8),
            7_000);
    deployment.record.line(requestId + " answered " + outcome);
    synchronized (outcomes) {
      outcomes.computeIfAbsent(kind + " " + outcome, o -> new AtomicInteger()).incrementAndGet();
    }
  }

  private static String id(HttpMessage request) {
    return request.header("Cornelchute-Request-Id", "");
  }
}
