import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A caller begins a new session; an earlier part of some of its prompts crashes replicas. */
final class NewSession implements Engine.Observer {

  private static final long STABILITY_WINDOW_MILLIS = 3_000;

  /** Steps after which the second session begins, and after which no more requests are sent. */
  private static final int SESSION_STEPS = 240;

  private static final int END_STEPS = 540;
  private static final int MIN_REQUESTS = 20;

  /** One request in so many is sound, the others are harmful in the second session. */
  private static final int SOUND_INTERVAL = 8;

  private static final long STEP_MILLIS = 100;
  private static final String HARMFUL = "bad0bad0";

  private final boolean trouble;
  private final long startedAt = System.nanoTime();
  private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
  private final Map<String, Long> begunAt = new ConcurrentHashMap<>();
  private final List<Long> crashes = new ArrayList<>();
  private final ConcurrentLinkedQueue<String> record = new ConcurrentLinkedQueue<>();

  private NewSession(boolean trouble) {
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    Verdict.exit(() -> new NewSession(!"0".equals(System.getenv("TROUBLE"))).run(args));
  }

  private int run(String[] args) throws Exception {
    Path folder = Path.of(args[1]);
    Store store = new Store();
    Server storeServer = new Server(store);
    store.put("op", "config", Engine.config(1, "engines"));
    for (int i = 0; i < 8; i++) {
      new Engine("i-" + i, "engines", 16, 21, 45, store, this);
    }
    int[] ports = Daemon.freePorts(4);
    String settings = Daemon.entrySettings("edge-1", ports, storeServer.address(), true);
    try (Daemon entry = Daemon.start(Path.of(args[0]), folder, "entry", "edge-1", settings)) {
      String address = "127.0.0.1:" + ports[0];
      if (!Start.awaitReady("127.0.0.1:" + ports[1])) {
        log("the entry did not get ready");
        return finish(args, 2);
      }
      int number = 0;
      while (number < END_STEPS) {
        boolean second = number >= SESSION_STEPS;
        String session = second ? "52000002" : "52000001";
        if (number % SOUND_INTERVAL == SOUND_INTERVAL - 1) {
          send(address, "sound-" + number, "51000000:40," + session + ":600," + own(number));
        } else if (second) {
          String prefix = "51000000:40," + HARMFUL + ":200," + session + ":600,";
          send(address, "harmful-" + number, prefix + own(number));
        }
        number++;
        Thread.sleep(STEP_MILLIS);
      }
      Thread.sleep(3_000);
    }
    return finish(args, verdict());
  }

  private static String own(int number) {
    return Integer.toHexString(0x71000000 + number) + ":100";
  }

  private void send(String address, String id, String prefix) {
    Thread thread = new Thread(() -> call(address, id, prefix));
    thread.setDaemon(true);
    thread.start();
  }

  private void call(String address, String id, String prefix) {
    sentAt.put(id, now());
    log("sent " + id);
    String outcome;
    try (Client client = new Client(address)) {
      Map<String, String> headers =
          Map.of(
              "Cornelchute-Request-Id", id,
              "Cornelchute-Deadline-Ms", "6000",
              "Authorization", "Bearer key-1",
              "Cornelchute-Model", Engine.MODEL,
              "Cornelchute-Token-Counts", "740,100",
              "Cornelchute-Prefix-Hash", prefix);
      client.sendHead("POST", "/drafts/x", "api.example", headers, 0);
      Client.Answer answer = client.readAnswer(6_000);
      outcome = answer == null ? "closed" : Integer.toString(answer.status());
    } catch (Exception e) {
      outcome = "broken off";
    }
    log("answered " + id + " " + outcome);
  }

  @Override
  public void onArrival(Engine engine, Server.Request request) {}

  @Override
  public void onBegin(Engine engine, Server.Request request) {
    String id = request.header("Cornelchute-Request-Id");
    begunAt.putIfAbsent(id, now());
    log("began " + engine.id + " " + id);
  }

  @Override
  public void onCrash(Engine engine, Server.Request request) {
    synchronized (crashes) {
      crashes.add(now());
      log("crash " + crashes.size() + " of " + engine.id);
    }
  }

  @Override
  public boolean crashes(Engine engine, Server.Request request) {
    return trouble && request.header("Cornelchute-Prefix-Hash").contains(HARMFUL + ":");
  }

  private int verdict() {
    long judgedFrom;
    synchronized (crashes) {
      log("crashes " + crashes.size());
      int counted = Math.min(5, crashes.size());
      judgedFrom =
          counted == 0
              ? SESSION_STEPS * STEP_MILLIS + 2 * STABILITY_WINDOW_MILLIS
              : crashes.get(counted - 1) + 2 * STABILITY_WINDOW_MILLIS;
    }
    long firstHarmful =
        sentAt.entrySet().stream()
            .filter(e -> e.getKey().startsWith("harmful"))
            .mapToLong(Map.Entry::getValue)
            .min()
            .orElse(0);
    double outside = share("outside trouble", 0, firstHarmful - 1_000);
    double inside = share("from two windows after the crash on", judgedFrom, Long.MAX_VALUE);
    if (outside < 0 || inside < 0) {
      return 2;
    }
    return inside < outside / 2 ? 1 : 0;
  }

  /** Returns the share of the sound requests sent in a time that began; -1 if they are too few. */
  private double share(String label, long from, long to) {
    long sent = 0;
    long begun = 0;
    for (Map.Entry<String, Long> e : sentAt.entrySet()) {
      if (e.getKey().startsWith("sound") && e.getValue() >= from && e.getValue() < to) {
        sent++;
        begun += begunAt.containsKey(e.getKey()) ? 1 : 0;
      }
    }
    log("sound requests " + label + ": " + begun + " of " + sent + " began");
    return sent < MIN_REQUESTS ? -1 : (double) begun / sent;
  }

  private int finish(String[] args, int code) throws Exception {
    log(code == 1 ? "LOST broken" : code == 0 ? "held" : "could not run");
    Files.write(Path.of(args[2]), record);
    return code;
  }

  private void log(String line) {
    record.add(String.format("%7d %s", now(), line));
  }

  private long now() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }
}
