package org.cornelchute.core.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The end of a process that runs a daemon. */
@Timeout(60)
class DaemonRunnerTest {

  private static final String OPENED = "opened";
  private static final String DRAINED = "drained";
  private static final long START_MILLIS = 700;

  /** Failure: a process that got a termination signal while it started ended without a drain. */
  @Test
  void drainsIfTerminatedDuringStart() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                SlowDaemon.class.getName())
            .redirectErrorStream(true)
            .start();
    try (BufferedReader output =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      String line = output.readLine();
      while (line != null && !line.equals(OPENED)) {
        line = output.readLine();
      }
      assertThat(line).isEqualTo(OPENED);
      process.toHandle().destroy();
      List<String> rest = output.lines().toList();
      assertThat(rest).contains(DRAINED);
      assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
    } finally {
      process.destroyForcibly();
    }
  }

  /** A daemon that takes some time after its first socket is open. */
  static final class SlowDaemon implements Daemon {

    private volatile boolean started;

    /** Runs the daemon. */
    public static void main(String[] args) {
      DaemonRunner.run("slow", new SlowDaemon());
    }

    @Override
    public void start() {
      System.out.println(OPENED);
      try {
        TimeUnit.MILLISECONDS.sleep(START_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      started = true;
    }

    @Override
    public boolean drain() {
      System.out.println(started ? DRAINED : "drained before it had started");
      return true;
    }

    @Override
    public void close() {}
  }
}
