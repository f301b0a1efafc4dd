package org.cornelchute.standin.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A process that the harness started.
 *
 * @param id member id in the fleet
 * @param process handle of the operating system's process
 * @param logFile file with the standard output and standard error
 * @param framePort port for frames from other members
 * @param operatorPort port for operators
 * @param callerPort port for callers, 0 for agents
 */
public record ChildProcess(
    String id, Process process, Path logFile, int framePort, int operatorPort, int callerPort) {

  /** Kills the process forcibly and waits until it has exited. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(10);
  }

  /** Requests a graceful stop and returns whether the process exits within the given time. */
  public boolean stop(int timeoutSeconds) {
    process.destroy();
    return awaitExit(timeoutSeconds);
  }

  /** Sends a signal, such as STOP or CONT, with the command {@code kill}. */
  public void signal(String signalName) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the resident memory in bytes, or 0 if the process has exited. */
  public long residentBytes() {
    return readStatusBytes("VmRSS:");
  }

  /** Returns the CPU time used so far in milliseconds, or 0 if it is not available. */
  public long cpuMillis() {
    return process.info().totalCpuDuration().map(d -> d.toMillis()).orElse(0L);
  }

  private long readStatusBytes(String key) {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith(key)) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1_024;
        }
      }
    } catch (IOException e) {
      return 0;
    }
    return 0;
  }

  private boolean awaitExit(int timeoutSeconds) {
    try {
      return process.waitFor(timeoutSeconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
