import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small deployment on loopback addresses: a store, replicas, entries and agents. */
final class Deployment {

  static final String MODEL = "m0";
  static final String HOST = "desk.example";
  static final String KEY = "key-of-tenant-1";
  static final String STREAM_PATH = "/draft/";
  static final String ORDER_PATH = "/order/";
  static final String MODEL_SERVICE = "llm";
  static final String PLAIN_SERVICE = "orders";
  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  private static final int EXIT_HELD = 0;
  private static final int EXIT_NOT_RUN = 2;

  /** Not 1, with which a Java program ends after an unexpected exception; run.sh makes it 1. */
  private static final int EXIT_BROKEN = 3;

  private static final Map<String, Object> REGIONS =
      Json.map("zone-a", "region-a", "zone-b", "region-b", "zone-c", "region-c");

  final Path home;
  final Path folder;
  final StoreStandin store;
  final Record record;
  final List<Daemon> entries = new ArrayList<>();
  final List<String> entryAddresses = new ArrayList<>();
  private String origin = "";
  private final List<String> readinessAddresses = new ArrayList<>();

  /**
   * Creates a deployment with an empty store.
   *
   * @param home root of the repository, where the daemons run
   */
  Deployment(Path home, Record record) throws IOException {
    this.home = home;
    this.record = record;
    this.folder = Files.createTempDirectory("review");
    this.store = new StoreStandin();
  }

  /** Writes a configuration with one tenant, which holds the key. */
  void configure() {
    configure("");
  }

  /** Writes a configuration with an origin of weights too. */
  void configure(String originAddress) {
    origin = originAddress;
    configure(
        7,
        List.of(
            Json.map(
                "name", "tenant-1",
                "apiKeys", List.of(KEY),
                "priority", 1,
                "allowedRegions", List.of())));
  }

  /** Writes a configuration; the store's answer, which is immediate, is its acknowledgement. */
  void configure(long version, List<Object> tenants) {
    List<Object> services = new ArrayList<>();
    services.add(
        Json.map(
            "name", MODEL_SERVICE,
            "healthPath", "/health",
            "maxConnections", 314,
            "coldStartS", 0.0,
            "coldPerS", 0.0,
            "engine",
                Json.map(
                    "slots", 16,
                    "stride", 5,
                    "models", List.of(Json.map("name", MODEL, "pace", 1.0, "warmupS", 0.3)),
                    "step_ms", 8.87,
                    "per_seq_ms", 0.0388,
                    "read_per_s", 19_100.0,
                    "usual", Json.map("prompt", 977, "answer", 94),
                    "chunks", ReplicaStandin.CHUNKS,
                    "chunkBytes", ReplicaStandin.CHUNK_BYTES)));
    services.add(
        Json.map(
            "name", PLAIN_SERVICE,
            "healthPath", "/health",
            "maxConnections", 110,
            "coldStartS", 0.0,
            "coldPerS", 0.0));
    if (!origin.isEmpty()) {
      services.add(
          Json.map(
              "name", "weights",
              "origin", origin,
              "zone", "zone-a",
              "linkMbps", 7.3,
              "maxConnections", 48));
    }
    store.put(
        "op",
        "config",
        Json.map(
            "version", version,
            "routes", List.of(streamRoute(), orderRoute()),
            "services", services,
            "limits",
                Json.map(
                    "maxHeaderBytes", 16_384,
                    "maxBodyBytes", 4_194_304,
                    "headerTimeoutMs", 3_000,
                    "idleTimeoutMs", 15_000),
            "tenants", tenants));
    record.line("configuration " + version + " is acknowledged, tenants " + tenants);
  }

  private static Map<String, Object> streamRoute() {
    return Json.map(
        "name", "draft",
        "host", HOST,
        "pathPrefix", STREAM_PATH,
        "kind", "streaming",
        "timeoutMs", 6_000,
        "targetLatencyMs", 502,
        "priority", 1,
        "service", MODEL_SERVICE,
        "maxAttempts", 2,
        "anonymous", false,
        "sticky", true,
        "resumable", true,
        "targetGapMs", 400,
        "allowedRegions", List.of());
  }

  private static Map<String, Object> orderRoute() {
    return Json.map(
        "name", "order",
        "host", HOST,
        "pathPrefix", ORDER_PATH,
        "kind", "non_idempotent",
        "timeoutMs", 1_500,
        "targetLatencyMs", 124,
        "priority", 2,
        "service", PLAIN_SERVICE,
        "maxAttempts", 2,
        "anonymous", false,
        "allowedRegions", List.of());
  }

  /** Starts an entry with the settings that the template of the deploy file gives. */
  void startEntry(String zone) throws IOException {
    String callers = Daemon.freeAddress("127.0.0.1");
    String readiness = Daemon.freeAddress("127.0.0.1");
    Map<String, Object> settings =
        Json.map(
            "name", "edge-" + zone + "-" + (entries.size() + 1),
            "domain", zone,
            "regions", REGIONS,
            "callers", callers,
            "readiness", readiness,
            "peers", Daemon.freeAddress("127.0.0.1"),
            "operators", Daemon.freeAddress("127.0.0.1"),
            "store", store.address(),
            "keyAgeMillis", 5_000,
            "configMillis", 2_000,
            "versionMillis", 8_000,
            "retryRatio", 0.2,
            "retryAllowance", 106,
            "retryWindowSeconds", 10,
            "coldOverrun", 1.5,
            "coldAllowance", 5,
            "stopSeconds", 8,
            "firstStart", true);
    entries.add(new Daemon(home, folder, "entry", settings));
    entryAddresses.add(callers);
    readinessAddresses.add(readiness);
  }

  /** Starts the agent beside a model replica. */
  Daemon startAgent(String zone, int number, ReplicaStandin replica) throws IOException {
    String host = replica.address().substring(0, replica.address().indexOf(':'));
    Map<String, Object> settings =
        Json.map(
            "name", "side-" + zone + "-" + number,
            "domain", zone,
            "regions", REGIONS,
            "peers", Daemon.freeAddress(host),
            "operators", Daemon.freeAddress(host),
            "store", store.address(),
            "engine", replica.address(),
            "versionMillis", 8_000,
            "linkMbps", 5.11);
    return new Daemon(home, folder, "agent", settings);
  }

  /** Waits until all entries are ready; ends the run if they are not in time. */
  void awaitReady() {
    for (int i = 0; i < 300; i++) {
      if (readinessAddresses.stream().allMatch(Client::isReady)) {
        record.line("all entries are ready");
        return;
      }
      Threads.sleep(100);
    }
    cannotRun("the entries were not ready within 30 s");
  }

  /** Ends the run because it shows nothing. */
  void cannotRun(String cause) {
    record.say("could not run: " + cause);
    System.exit(EXIT_NOT_RUN);
  }

  /** Ends the run with its verdict. */
  void end(boolean broken, String verdict) {
    for (Daemon entry : entries) {
      if (!entry.isAlive()) {
        record.say("process ended by itself: " + entry.name);
      }
    }
    record.say((broken ? "BROKEN: " : "held: ") + verdict);
    System.exit(broken ? EXIT_BROKEN : EXIT_HELD);
  }

  /** Returns the headers of a request to the model. */
  static Map<String, String> streamHeaders(String requestId, String prefix) {
    return Map.of(
        "Host", HOST,
        "Cornelchute-Request-Id", requestId,
        "Cornelchute-Model", MODEL,
        "Cornelchute-Token-Counts", "400,60",
        "Cornelchute-Prefix-Hash", prefix,
        "Cornelchute-Deadline-Ms", "6000",
        "Authorization", "Bearer " + KEY);
  }
}
