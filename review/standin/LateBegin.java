import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 4: new weights are named, and a sound replica that still holds the older ones, as it is one
 * of the half that switches last, is silent for a second around the end of the time allowed.
 *
 * <p>VERSION: no request may begin on an older version later than version_ms after a newer one was
 * acknowledged.
 */
final class LateBegin {

  private static final int REPLICAS = 4;
  private static final long VERSION_MILLIS = 8_000;
  private static final long SILENT_FROM_MILLIS = 7_100;
  private static final long SILENT_MILLIS = 1_000;
  private static final long INTERVAL_MILLIS = 16;
  private static final long RUN_MILLIS = 14_000;

  private LateBegin() {}

  /** Arguments: root of the repository, file of the record, 0 for no trouble. */
  public static void main(String[] args) throws IOException {
    Record record = new Record(Path.of(args[1]));
    boolean trouble = !args[2].equals("0");
    List<Long> oldBegins = new ArrayList<>();
    ReplicaStandin.Observer observer =
        new ReplicaStandin.Observer() {
          @Override
          public void onRun(ReplicaStandin replica, HttpMessage request, long version) {
            String id = request.header("Cornelchute-Request-Id", "");
            record.line(replica.name() + " begins " + id + " on version " + version);
            if (version == 1) {
              synchronized (oldBegins) {
                oldBegins.add(record.millis());
              }
            }
          }

          @Override
          public void onOrder(ReplicaStandin replica, long version, TreeMap<Integer, byte[]> taken) {
            record.line(replica.name() + " takes version " + version);
          }
        };
    Deployment deployment = new Deployment(Path.of(args[0]), record);
    OriginStandin origin = new OriginStandin();
    deployment.configure(origin.address());
    List<ReplicaStandin> replicas = new ArrayList<>();
    for (int i = 0; i < REPLICAS; i++) {
      ReplicaStandin replica =
          new ReplicaStandin(
              "127.0.1." + (i + 1),
              "llm" + i,
              Deployment.MODEL_SERVICE,
              Deployment.MODEL,
              Deployment.ZONES.get(i % 2),
              deployment.store,
              observer);
      for (int piece = 0; piece < ReplicaStandin.CHUNKS; piece++) {
        replica.staged.put(piece, OriginStandin.piece(1, piece));
      }
      replicas.add(replica);
      deployment.startAgent(Deployment.ZONES.get(i % 2), i + 1, replica);
    }
    for (String zone : Deployment.ZONES) {
      deployment.startEntry(zone);
    }
    deployment.awaitReady();
    Threads.sleep(6_000);
    deployment.store.put(
        "op", "version/" + Deployment.MODEL, Json.map("model", Deployment.MODEL, "version", 2));
    long named = record.millis();
    record.line("version 2 is acknowledged");
    Map<String, AtomicInteger> outcomes = new TreeMap<>();
    Threads.start("clients", () -> sendUntil(deployment, named + RUN_MILLIS, outcomes));
    Threads.sleep(named + SILENT_FROM_MILLIS - record.millis());
    if (trouble) {
      silence(record, replicas);
    }
    Threads.sleep(named + RUN_MILLIS + 1_000 - record.millis());
    outcomes.forEach((outcome, count) -> record.say(count + " x " + outcome));
    long late = oldBegins.stream().filter(at -> at > named + VERSION_MILLIS).count();
    oldBegins.stream()
        .mapToLong(at -> at - named)
        .max()
        .ifPresent(last -> record.say("last begin on version 1: " + last + " ms"));
    if (oldBegins.isEmpty()) {
      deployment.cannotRun("nothing ran on version 1");
    }
    deployment.end(
        late > 0,
        late + " requests began on version 1 later than 8 s after version 2 was acknowledged");
  }

  /** Makes one of the replicas that still hold version 1 silent. */
  private static void silence(Record record, List<ReplicaStandin> replicas) {
    for (ReplicaStandin replica : replicas) {
      if (replica.version() == 1) {
        replica.fallSilent(SILENT_MILLIS);
        record.line(replica.name() + " is silent for " + SILENT_MILLIS + " ms");
        return;
      }
    }
  }

  private static void sendUntil(
      Deployment deployment, long end, Map<String, AtomicInteger> outcomes) {
    for (int i = 0; deployment.record.millis() < end; i++) {
      int number = i;
      Threads.start(
          "client",
          () -> {
            String requestId = "r" + number;
            deployment.record.line(requestId + " sent");
            String outcome =
                Client.call(
                    deployment.entryAddresses.get(number % deployment.entryAddresses.size()),
                    "POST",
                    Deployment.STREAM_PATH + "x",
                    Deployment.streamHeaders(
                        requestId, "5c1e07a2:40," + Integer.toHexString(number) + ":300"),
                    "{}".getBytes(StandardCharsets.UTF_8),
                    7_000);
            deployment.record.line(requestId + " answered " + outcome);
            synchronized (outcomes) {
              outcomes.computeIfAbsent(outcome, o -> new AtomicInteger()).incrementAndGet();
            }
          });
      Threads.sleep(INTERVAL_MILLIS);
    }
  }
}
