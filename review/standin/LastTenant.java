import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 2: a configuration takes away the last tenant, and so all keys.
 *
 * <p>CONFIG: no request with a key that a configuration took away may run if it was sent later than
 * revokeMs after the acknowledgement. ROUTE: none may run whose key no configuration ever held.
 * UNASKED: no key may be passed on to a replica.
 */
final class LastTenant {

  private static final long REVOKE_MILLIS = 5_000;
  private static final long BEFORE_MILLIS = 5_000;
  private static final long AFTER_MILLIS = 15_000;
  private static final long INTERVAL_MILLIS = 100;
  private static final String UNKNOWN_KEY = "key-that-never-was";

  private LastTenant() {}

  /** Arguments: root of the repository, file of the record, 0 for no trouble. */
  public static void main(String[] args) throws IOException {
    Record record = new Record(Path.of(args[1]));
    boolean trouble = !args[2].equals("0");
    AtomicInteger lateRuns = new AtomicInteger();
    AtomicInteger unknownRuns = new AtomicInteger();
    AtomicInteger passedKeys = new AtomicInteger();
    AtomicInteger runs = new AtomicInteger();
    ReplicaStandin.Observer observer =
        new ReplicaStandin.Observer() {
          @Override
          public void onRun(ReplicaStandin replica, HttpMessage request, long version) {
            String id = request.header("Cornelchute-Request-Id", "");
            String authorization = request.header("Authorization", "");
            record.line(
                replica.name()
                    + " runs "
                    + id
                    + " tenant='"
                    + request.header("Cornelchute-Tenant", "")
                    + "' authorization='"
                    + authorization
                    + "'");
            runs.incrementAndGet();
            lateRuns.addAndGet(id.startsWith("late") ? 1 : 0);
            unknownRuns.addAndGet(id.startsWith("unknown") ? 1 : 0);
            passedKeys.addAndGet(authorization.isEmpty() ? 0 : 1);
          }
        };
    Deployment deployment = new Deployment(Path.of(args[0]), record);
    deployment.configure();
    for (String zone : Deployment.ZONES) {
      new ReplicaStandin(
          "127.0.0.1",
          "orders-" + zone,
          Deployment.PLAIN_SERVICE,
          "",
          zone,
          deployment.store,
          observer);
    }
    for (String zone : Deployment.ZONES) {
      deployment.startEntry(zone);
    }
    deployment.awaitReady();
    Map<String, AtomicInteger> outcomes = new TreeMap<>();
    send(deployment, "early", BEFORE_MILLIS, outcomes);
    if (trouble) {
      deployment.configure(9, List.of());
    }
    send(deployment, "between", REVOKE_MILLIS, outcomes);
    // From now on, requests are sent later than revokeMs after the acknowledgement.
    send(deployment, trouble ? "late" : "still-allowed", AFTER_MILLIS, outcomes);
    Threads.sleep(2_000);
    outcomes.forEach((outcome, count) -> record.say(count + " x " + outcome));
    if (runs.get() == 0) {
      deployment.cannotRun("no request ran");
    }
    record.say("runs with a key that was passed on: " + passedKeys);
    record.say("runs with a key that no configuration ever held: " + unknownRuns);
    deployment.end(
        lateRuns.get() + unknownRuns.get() + passedKeys.get() > 0,
        lateRuns + " requests ran with a key that was taken away over 5 s before");
  }

  /** Sends requests to the entries in turn, every tenth with a key that nobody ever had. */
  private static void send(
      Deployment deployment, String kind, long millis, Map<String, AtomicInteger> outcomes) {
    long end = deployment.record.millis() + millis;
    for (int i = 0; deployment.record.millis() < end; i++) {
      boolean unknown = i % 10 == 9;
      int number = i;
      String requestId = (unknown ? "unknown-" : "") + kind + "-" + number;
      Map<String, String> headers =
          Map.of(
              "Host", Deployment.HOST,
              "Cornelchute-Request-Id", requestId,
              "Cornelchute-Deadline-Ms", "1500",
              "Authorization", "Bearer " + (unknown ? UNKNOWN_KEY : Deployment.KEY));
      Threads.start(
          "client",
          () -> {
            deployment.record.line(requestId + " sent");
            String outcome =
                Client.call(
                    deployment.entryAddresses.get(number % deployment.entryAddresses.size()),
                    "POST",
                    Deployment.ORDER_PATH + "x",
                    headers,
                    "{}".getBytes(StandardCharsets.UTF_8),
                    2_000);
            deployment.record.line(requestId + " answered " + outcome);
            String group = (unknown ? "unknown key, " : "") + kind + ": " + outcome;
            synchronized (outcomes) {
              outcomes.computeIfAbsent(group, o -> new AtomicInteger()).incrementAndGet();
            }
          });
      Threads.sleep(INTERVAL_MILLIS);
    }
  }
}
