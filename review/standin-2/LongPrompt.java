import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A part of long prompts crashes each replica that begins to answer it. */
final class LongPrompt implements Engine.Observer {

  private static final long STABILITY_WINDOW_MILLIS = 3_000;
  private static final int ALLOWED_LATE = 3;
  private static final String HARMFUL = "bad0bad0";

  private final boolean trouble;
  private final int parts;
  private final long startedAt = System.nanoTime();
  private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
  private final List<Long> crashes = new ArrayList<>();
  private final Map<String, Long> harmfulArrivals = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> record = new ConcurrentLinkedQueue<>();
  private final AtomicInteger soundSent = new AtomicInteger();
  private final AtomicInteger soundServed = new AtomicInteger();

  private LongPrompt(boolean trouble, int parts) {
    this.trouble = trouble;
    this.parts = parts;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int parts = Integer.parseInt(System.getenv().getOrDefault("PARTS", "40"));
    Verdict.exit(() -> new LongPrompt(trouble, parts).run(args));
  }

  private int run(String[] args) throws Exception {
    Path folder = Path.of(args[1]);
    Store store = new Store();
    Server storeServer = new Server(store);
    store.put("op", "config", Engine.config(1, "engines"));
    for (int i = 0; i < 6; i++) {
      new Engine("i-" + i, "engines", 16, 8, 15, store, this);
    }
    int[] ports = Daemon.freePorts(4);
    String settings = Daemon.entrySettings("edge-1", ports, storeServer.address(), true);
    try (Daemon entry = Daemon.start(Path.of(args[0]), folder, "entry", "edge-1", settings)) {
      String address = "127.0.0.1:" + ports[0];
      if (!Start.awaitReady("127.0.0.1:" + ports[1])) {
        log("the entry did not get ready");
        return finish(args, 2);
      }
      // Sound requests all the while, harmful ones from the tenth second on.
      long begin = now();
      int number = 0;
      while (now() - begin < 45_000) {
        send(address, "sound-" + number, prompt(number, false));
        if (now() - begin > 10_000 && number % 10 == 0) {
          send(address, "harmful-" + number, prompt(number, true));
        }
        number++;
        Thread.sleep(50);
      }
      Thread.sleep(2_000);
    }
    return finish(args, verdict());
  }

  /** Returns the parts of a prompt: those of a long session, and one of the request itself. */
  private String prompt(int number, boolean harmful) {
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < parts - 2; i++) {
      entries.add(Integer.toHexString(0x51000000 + i) + ":20");
    }
    entries.add((harmful ? HARMFUL : Integer.toHexString(0x61000000 + number % 7)) + ":20");
    entries.add(Integer.toHexString(0x71000000 + number + (harmful ? 0x100000 : 0)) + ":20");
    return String.join(",", entries);
  }

  private void send(String address, String id, String prefix) {
    Thread thread = new Thread(() -> call(address, id, prefix));
    thread.setDaemon(true);
    thread.start();
  }

  private void call(String address, String id, String prefix) {
    boolean sound = id.startsWith("sound");
    sentAt.put(id, now());
    log("sent " + id);
    soundSent.addAndGet(sound ? 1 : 0);
    String outcome;
    try (Client client = new Client(address)) {
      Map<String, String> headers =
          Map.of(
              "Cornelchute-Request-Id", id,
              "Cornelchute-Deadline-Ms", "6000",
              "Authorization", "Bearer key-1",
              "Cornelchute-Model", Engine.MODEL,
              "Cornelchute-Token-Counts", 20 * parts + ",40",
              "Cornelchute-Prefix-Hash", prefix);
      client.sendHead("POST", "/drafts/x", "api.example", headers, 0);
      Client.Answer answer = client.readAnswer(6_000);
      outcome = answer == null ? "closed" : Integer.toString(answer.status());
      soundServed.addAndGet(sound && answer != null && answer.status() == 200 ? 1 : 0);
    } catch (Exception e) {
      outcome = e.getClass().getSimpleName();
    }
    log("answered " + id + " " + outcome);
  }

  @Override
  public void onArrival(Engine engine, Server.Request request) {
    if (isHarmful(request)) {
      String id = request.header("Cornelchute-Request-Id");
      harmfulArrivals.putIfAbsent(id, now());
      log("reached " + engine.id + " " + id);
    }
  }

  @Override
  public void onBegin(Engine engine, Server.Request request) {
    log("began " + engine.id + " " + request.header("Cornelchute-Request-Id"));
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
    return trouble && isHarmful(request);
  }

  private static boolean isHarmful(Server.Request request) {
    return request.header("Cornelchute-Prefix-Hash").contains(HARMFUL + ":");
  }

  private int verdict() {
    long fifth;
    synchronized (crashes) {
      log("crashes " + crashes.size() + ", sound served " + soundServed + " of " + soundSent);
      fifth = crashes.size() < 5 ? Long.MAX_VALUE / 2 : crashes.get(4);
    }
    if (soundSent.get() < 100) {
      return 2;
    }
    long late =
        harmfulArrivals.keySet().stream()
            .filter(id -> sentAt.get(id) > fifth + STABILITY_WINDOW_MILLIS)
            .count();
    log("harmful requests that reached replicas, sent later than the window: " + late);
    return late > ALLOWED_LATE ? 1 : 0;
  }

  private int finish(String[] args, int code) throws Exception {
    log(code == 1 ? "BUDGET broken" : code == 0 ? "held" : "could not run");
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
