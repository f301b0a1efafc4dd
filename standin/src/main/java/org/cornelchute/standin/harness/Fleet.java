package org.cornelchute.standin.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.cornelchute.standin.server.EngineStandin;
import org.cornelchute.standin.server.OriginStandin;
import org.cornelchute.standin.server.PlatformStandin;
import org.cornelchute.standin.server.ServiceStandin;

/**
 * A fleet on the loopback interface. The stand-ins run in this process, and each entry and agent
 * runs in a separate process. Closing the fleet kills these processes; a shutdown hook also does so
 * when this process is interrupted from the keyboard.
 */
public final class Fleet implements AutoCloseable {

  private static final String ENTRY_MAIN = "org.cornelchute.entry.EntryProgram";
  private static final String AGENT_MAIN = "org.cornelchute.agent.AgentProgram";
  private static final String CTL_MAIN = "org.cornelchute.ctl.CtlProgram";
  private static final long POLL_INTERVAL_MILLIS = 50;
  private static final int STOP_TIMEOUT_SECONDS = 10;
  private static final int LOG_TAIL_LINES = 20;

  private final PortAllocator ports = new PortAllocator();
  private final ObjectMapper mapper = new ObjectMapper();
  private final Path directory;
  private final int platformPort;
  private final int originPort;
  private final PlatformStandin platform;
  private final OriginStandin origin;
  private final Map<String, EngineStandin> engines = new TreeMap<>();
  private final Map<String, ServiceStandin> services = new TreeMap<>();
  private final Map<String, Integer> endpointPorts = new TreeMap<>();
  private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
  private final Map<String, Map<String, Object>> settingsById = new TreeMap<>();
  private final List<String> seeds = new ArrayList<>();
  private final List<String> addresses = new ArrayList<>();
  private final Thread shutdownHook = new Thread(this::killAll, "end-processes");
  private String logLevel = "INFO";

  /**
   * Starts the platform and origin stand-ins.
   *
   * @param originBytesPerSecond rate of the origin's link, 0 for no limit
   */
  public Fleet(long originBytesPerSecond) throws IOException {
    this.directory = Files.createTempDirectory("cornelchute");
    this.platformPort = ports.nextPort();
    this.originPort = ports.nextPort();
    this.platform = new PlatformStandin(platformPort);
    this.origin = new OriginStandin(originPort, originBytesPerSecond);
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  // Accessors

  /** Returns the port of the platform stand-in. */
  public int platformPort() {
    return platformPort;
  }

  /** Returns the port of the origin stand-in. */
  public int originPort() {
    return originPort;
  }

  /** Returns the port of the endpoint that an agent serves. */
  public int endpointPort(String agent) {
    return endpointPorts.get(agent);
  }

  /** Returns the ids of all agents that have an engine. */
  public List<String> engineIds() {
    return List.copyOf(engines.keySet());
  }

  /** Returns the most recently started process of a member. */
  public ChildProcess process(String id) {
    return processes.get(id);
  }

  /** Returns the most recently started process of every member. */
  public List<ChildProcess> processes() {
    return List.copyOf(processes.values());
  }

  /** Sets the log level of processes that are started after this call. */
  public void setLogLevel(String logLevel) {
    this.logLevel = logLevel;
  }

  // Starting and stopping

  /** Publishes a version of a model at the origin. */
  public JsonNode publish(String query) throws IOException {
    return Http.post(originPort, "/publish?" + query, Map.of());
  }

  /** Starts an entry. */
  public ChildProcess startEntry(
      String id, String region, String domain, Map<String, Object> extraSettings)
      throws IOException {
    Map<String, Object> settings = new LinkedHashMap<>(extraSettings);
    settings.put("member", memberSettings(id, region, domain));
    settings.put("callerPort", ports.nextPort());
    return start(id, ENTRY_MAIN, settings, "64m");
  }

  /** Starts entries in the 4 regions and 13 domains of the target size; waits for responses. */
  public void startIdleEntries(int count) throws IOException {
    setLogLevel("WARN");
    for (int i = 0; i < count; i++) {
      startEntry("entry-" + i, "r" + i % 4, "d" + i % 13, Map.of());
    }
    awaitStarted(90);
  }

  /** Starts an engine stand-in and its agent. */
  public ChildProcess startEngine(
      String id,
      String region,
      String domain,
      EngineStandin.Options options,
      Map<String, Object> extraSettings)
      throws IOException {
    int port = ports.nextPort();
    endpointPorts.put(id, port);
    engines.put(id, new EngineStandin(port, options));
    Map<String, Object> settings = new LinkedHashMap<>(extraSettings);
    settings.put("member", memberSettings(id, region, domain));
    settings.put("endpoint", "http://127.0.0.1:" + port);
    settings.put("origin", "http://127.0.0.1:" + originPort);
    String heap = (String) settings.remove("heap");
    return start(id, AGENT_MAIN, settings, heap == null ? "96m" : heap);
  }

  /** Starts a service stand-in and its agent. */
  public ChildProcess startService(String id, String region, String domain, String service)
      throws IOException {
    int port = ports.nextPort();
    endpointPorts.put(id, port);
    services.put(id, new ServiceStandin(port));
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("member", memberSettings(id, region, domain));
    settings.put("endpoint", "http://127.0.0.1:" + port);
    settings.put("service", service);
    return start(id, AGENT_MAIN, settings, "64m");
  }

  /** Starts a new process with the previous settings of a member, as a platform replaces a VM. */
  public ChildProcess restart(String id) throws IOException {
    Map<String, Object> settings = settingsById.get(id);
    boolean isEntry = settings.containsKey("callerPort");
    return launch(id, isEntry ? ENTRY_MAIN : AGENT_MAIN, settings, isEntry ? "64m" : "96m");
  }

  /** Runs cornelctl, appends its output to {@code output} and returns its exit code. */
  public int runCtl(StringBuilder output, String... arguments) throws IOException {
    List<String> command = javaCommand("64m", CTL_MAIN);
    command.addAll(List.of(arguments));
    command.add("--platform");
    command.add("http://127.0.0.1:" + platformPort);
    for (ChildProcess child : processes.values()) {
      if (child.callerPort() != 0 && child.process().isAlive()) {
        command.add("--member");
        command.add("http://127.0.0.1:" + child.operatorPort());
        break;
      }
    }
    Process ctl = new ProcessBuilder(command).redirectErrorStream(true).start();
    output.append(new String(ctl.getInputStream().readAllBytes()));
    try {
      return ctl.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    }
  }

  /** Writes a rules file and applies it with cornelctl; returns the exit code. */
  public int applyRules(StringBuilder output, String rules) throws IOException {
    Path rulesFile = directory.resolve("fleet.rules");
    Files.writeString(rulesFile, rules);
    return runCtl(output, "apply", rulesFile.toString(), "--by", "harness", "--wait", "20");
  }

  // Waiting

  /** Waits until a condition holds and returns whether it does. */
  public static boolean await(int timeoutSeconds, BooleanSupplier condition) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
    while (System.nanoTime() - deadline < 0) {
      if (condition.getAsBoolean()) {
        return true;
      }
      sleep(POLL_INTERVAL_MILLIS);
    }
    return condition.getAsBoolean();
  }

  /** Sleeps without throwing on interruption. */
  public static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until every process responds on its operator port. */
  public boolean awaitStarted(int timeoutSeconds) {
    return await(
        timeoutSeconds,
        () -> processes.values().stream().allMatch(c -> isResponding(c.operatorPort())));
  }

  /** Returns the end of the log of the first process that has exited or does not respond. */
  public String failedProcessLog() throws IOException {
    for (ChildProcess child : processes.values()) {
      if (!child.process().isAlive() || !isResponding(child.operatorPort())) {
        List<String> lines = Files.readAllLines(child.logFile());
        return child.id()
            + ":\n"
            + String.join(
                "\n", lines.subList(Math.max(0, lines.size() - LOG_TAIL_LINES), lines.size()));
      }
    }
    return "every process responds";
  }

  /** Counts the engines that report a manifest as loaded. */
  public int countLoaded(String digest) {
    int count = 0;
    for (String id : engines.keySet()) {
      try {
        if (Http.get(endpointPorts.get(id), "/stats").path("manifest").asText().equals(digest)) {
          count++;
        }
      } catch (IOException e) {
        continue;
      }
    }
    return count;
  }

  /** Counts the agents that serve a manifest according to the member list of one member. */
  public int countReady(ChildProcess member, String digest) {
    try {
      int count = 0;
      for (JsonNode row : Http.get(member.operatorPort(), "/members")) {
        count += row.path("generation").path("manifest").asText().equals(digest) ? 1 : 0;
      }
      return count;
    } catch (IOException e) {
      return 0;
    }
  }

  @Override
  public void close() {
    killAll();
    engines.values().forEach(EngineStandin::close);
    services.values().forEach(ServiceStandin::close);
    origin.close();
    platform.close();
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
      try (Stream<Path> files = Files.walk(directory)) {
        files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
      }
    } catch (IOException | IllegalStateException e) {
      return;
    }
  }

  // Helpers

  private ChildProcess start(String id, String mainClass, Map<String, Object> settings, String heap)
      throws IOException {
    settingsById.put(id, settings);
    return launch(id, mainClass, settings, heap);
  }

  private ChildProcess launch(
      String id, String mainClass, Map<String, Object> settings, String heap) throws IOException {
    Path settingsFile = directory.resolve(id + ".json");
    Files.writeString(settingsFile, mapper.writeValueAsString(settings));
    final Path logFile = directory.resolve(id + ".log");
    List<String> command = javaCommand(heap, mainClass);
    command.add("--settings");
    command.add(settingsFile.toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("CORNEL_LOG_LEVEL", logLevel);
    Process process =
        builder
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
            .start();
    @SuppressWarnings("unchecked")
    Map<String, Object> member = (Map<String, Object>) settings.get("member");
    ChildProcess child =
        new ChildProcess(
            id,
            process,
            logFile,
            (Integer) member.get("port"),
            (Integer) member.get("operatorPort"),
            (Integer) settings.getOrDefault("callerPort", 0));
    processes.put(id, child);
    return child;
  }

  private Map<String, Object> memberSettings(String id, String region, String domain)
      throws IOException {
    int port = ports.nextPort();
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("id", id);
    settings.put("host", "127.0.0.1");
    settings.put("port", port);
    settings.put("operatorPort", ports.nextPort());
    settings.put("region", region);
    settings.put("domain", domain);
    settings.put("platform", "http://127.0.0.1:" + platformPort);
    settings.put("seeds", List.copyOf(seeds));
    String address = "127.0.0.1:" + port;
    if (seeds.size() < 3) {
      seeds.add(address);
    }
    addresses.add(address);
    Http.post(platformPort, "/vms", addresses);
    return settings;
  }

  private static List<String> javaCommand(String heap, String mainClass) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("@" + Path.of(System.getProperty("cornelchute.home", "."), "bin", "jvm.options"));
    command.add("-Xmx" + heap);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass);
    return command;
  }

  private static boolean isResponding(int port) {
    try {
      Http.get(port, "/metrics");
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void killAll() {
    for (ChildProcess child : processes.values()) {
      child.process().destroyForcibly();
    }
    for (ChildProcess child : processes.values()) {
      child.stop(STOP_TIMEOUT_SECONDS);
    }
  }
}
