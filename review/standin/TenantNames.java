import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 5: a configuration adds two tenants whose names differ in one letter beyond Latin-1.
 *
 * <p>UNASKED: no replica may run a request whose Cornelchute-Tenant isn't the tenant that holds the
 * client's key. The name may come in UTF-8, in Latin-1 or percent-encoded; the pages don't say.
 */
final class TenantNames {

  private static final long RUN_MILLIS = 8_000;
  private static final long INTERVAL_MILLIS = 100;
  private static final String[] KEYS = {"key-of-the-first", "key-of-the-second"};

  private TenantNames() {}

  /** Arguments: root of the repository, file of the record, 0 for no trouble. */
  public static void main(String[] args) throws IOException {
    Record record = new Record(Path.of(args[1]));
    boolean trouble = !args[2].equals("0");
    String[] names =
        trouble
            ? new String[] {"Luka Plo\u010de", "Luka Plo\u017ee"}
            : new String[] {"Luka Ploce", "Luka Ploze"};
    AtomicInteger runs = new AtomicInteger();
    AtomicInteger wrong = new AtomicInteger();
    ReplicaStandin.Observer observer =
        new ReplicaStandin.Observer() {
          @Override
          public void onRun(ReplicaStandin replica, HttpMessage request, long version) {
            String id = request.header("Cornelchute-Request-Id", "");
            String tenant = request.header("Cornelchute-Tenant", "");
            int holder = Integer.parseInt(id.substring(id.length() - 1));
            runs.incrementAndGet();
            if (!isName(tenant, names[holder])) {
              wrong.incrementAndGet();
            }
            record.line(
                replica.name() + " runs " + id + " for tenant '" + tenant + "' of " + names[holder]);
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
    deployment.configure(9, List.of(tenant(names[0], KEYS[0]), tenant(names[1], KEYS[1])));
    Threads.sleep(3_000);
    Map<String, AtomicInteger> outcomes = new TreeMap<>();
    send(deployment, outcomes);
    Threads.sleep(2_000);
    outcomes.forEach((outcome, count) -> record.say(count + " x " + outcome));
    if (runs.get() == 0) {
      deployment.cannotRun("no request ran");
    }
    deployment.end(
        wrong.get() > 0,
        wrong + " of " + runs + " runs named another tenant than the one that holds the key");
  }

  private static Map<String, Object> tenant(String name, String key) {
    return Json.map(
        "name", name, "apiKeys", List.of(key), "priority", 1, "allowedRegions", List.of());
  }

  private static boolean isName(String header, String name) {
    byte[] bytes = header.getBytes(StandardCharsets.ISO_8859_1);
    return header.equals(name)
        || new String(bytes, StandardCharsets.UTF_8).equals(name)
        || URLDecoder.decode(header.replace("+", "%2B"), StandardCharsets.UTF_8).equals(name);
  }

  private static void send(Deployment deployment, Map<String, AtomicInteger> outcomes) {
    long end = deployment.record.millis() + RUN_MILLIS;
    for (int i = 0; deployment.record.millis() < end; i++) {
      int number = i;
      String requestId = "r" + number + "-" + number % KEYS.length;
      Map<String, String> headers =
          Map.of(
              "Host", Deployment.HOST,
              "Cornelchute-Request-Id", requestId,
              "Cornelchute-Deadline-Ms", "1500",
              "Authorization", "Bearer " + KEYS[number % KEYS.length]);
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
            synchronized (outcomes) {
              outcomes.computeIfAbsent(outcome, o -> new AtomicInteger()).incrementAndGet();
            }
          });
      Threads.sleep(INTERVAL_MILLIS);
    }
  }
}
