import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A program of the project as a process, started with the command of the deploy file. */
final class Daemon implements AutoCloseable {

  final Process process;

  private Daemon(Process process) {
    this.process = process;
  }

  /** Starts a role with a settings file in a folder, where its output goes too. */
  static Daemon start(Path repository, Path folder, String role, String name, String settings)
      throws IOException {
    Path file = folder.resolve(name + ".json");
    Files.writeString(file, settings);
    ProcessBuilder builder = new ProcessBuilder(command(repository, role));
    builder.directory(repository.toFile());
    String javaHome = System.getProperty("java.home");
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "LANG", "JAVA_HOME"));
    builder.environment().put("PATH", javaHome + "/bin:" + System.getenv("PATH"));
    builder.environment().put("CORNELCHUTE_BOOT", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".out")));
    Process process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    return new Daemon(process);
  }

  private static List<String> command(Path repository, String role) throws IOException {
    String deploy = Files.readString(repository.resolve("deploy/system.toml"));
    Matcher run =
        Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no role " + role + " in the deploy file");
    }
    List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
    words.set(0, System.getProperty("java.home") + "/bin/" + words.get(0));
    return words;
  }

  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns free ports on the loopback address. */
  static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      sockets.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /** Returns the settings of an entry, in the format of its template. */
  static String entrySettings(String name, int[] ports, String store, boolean firstStart) {
    return "{\"name\": \"" + name + "\", \"domain\": \"quito-norte\","
        + " \"regions\": {\"quito-norte\":\"sierra\",\"guayaquil-sur\":\"costa\","
        + "\"cuenca-centro\":\"austro\"},"
        + " \"callers\": \"127.0.0.1:" + ports[0] + "\","
        + " \"readiness\": \"127.0.0.1:" + ports[1] + "\","
        + " \"peers\": \"127.0.0.1:" + ports[2] + "\","
        + " \"operators\": \"127.0.0.1:" + ports[3] + "\","
        + " \"store\": \"" + store + "\","
        + " \"keyAgeMillis\": 5000, \"configMillis\": 2000, \"versionMillis\": 8000,"
        + " \"retryRatio\": 0.2, \"retryAllowance\": 106, \"retryWindowSeconds\": 10,"
        + " \"coldOverrun\": 1.5, \"coldAllowance\": 5, \"stopSeconds\": 8,"
        + " \"firstStart\": " + firstStart + "}";
  }

  /** Returns the settings of an agent, in the format of its template. */
  static String agentSettings(
      String name, int peerPort, int operatorPort, String store, String engine) {
    return "{\"name\": \"" + name + "\", \"domain\": \"quito-norte\","
        + " \"regions\": {\"quito-norte\":\"sierra\",\"guayaquil-sur\":\"costa\","
        + "\"cuenca-centro\":\"austro\"},"
        + " \"peers\": \"127.0.0.1:" + peerPort + "\","
        + " \"operators\": \"127.0.0.1:" + operatorPort + "\","
        + " \"store\": \"" + store + "\", \"engine\": \"" + engine + "\","
        + " \"versionMillis\": 8000, \"linkMbps\": 5.11}";
  }
}
