import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of the deploy file. */
final class Daemon {

  private static final List<Daemon> ALL = new ArrayList<>();

  final String name;
  private final Process process;

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> ALL.forEach(Daemon::kill)));
  }

  /** Starts the role of deploy/system.toml with these settings. */
  Daemon(Path home, Path folder, String role, Map<String, Object> settings) throws IOException {
    name = (String) settings.get("name");
    Path file = Files.writeString(folder.resolve(name + ".json"), Json.write(settings));
    ProcessBuilder builder =
        new ProcessBuilder(command(home, role))
            .directory(home.toFile())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + ".log").toFile());
    builder.environment().put("CORNELCHUTE_BOOT", file.toString());
    process = builder.start();
    ALL.add(this);
  }

  private static List<String> command(Path home, String role) throws IOException {
    boolean inRole = false;
    for (String line : Files.readAllLines(home.resolve("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        inRole = line.equals("[roles." + role + "]");
      } else if (inRole && line.startsWith("run = ")) {
        return Arrays.asList(line.substring(7, line.length() - 1).split(" "));
      }
    }
    throw new IOException("role not found in the deploy file: " + role);
  }

  /** Sends a signal, such as STOP, CONT or TERM. */
  void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  void kill() {
    try {
      process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns a loopback address with a port that is free now. */
  static String freeAddress(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return host + ":" + socket.getLocalPort();
    }
  }
}
