package org.cornelchute.standin.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * One process that the harness started.
 *
 * @param id name in the fleet
 * @param process the process
 * @param logFile its standard output and error
 * @param framePort its frame port
 * @param operatorPort its operator port
 * @param callerPort its port for callers, 0 for agents
 */
public record ChildProcess(
    String id, Process process, Path logFile, int framePort, int operatorPort, int callerPort) {

  /** Kills the process without notice and waits until it is gone. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(10);
  }

  /** Tells the process to stop and waits. */
  public boolean stop(int seconds) {
    process.destroy();
    return awaitExit(seconds);
  }

  /** Sends a signal, such as STOP or CONT, by the system's own command. */
  public void signal(String name) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the resident memory in bytes, or 0 if the process is gone. */
  public long residentBytes() {
    return readStatusBytes("VmRSS:");
  }

  /** Returns the processor time used so far, in milliseconds. */
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

  private boolean awaitExit(int seconds) {
    try {
      return process.waitFor(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
