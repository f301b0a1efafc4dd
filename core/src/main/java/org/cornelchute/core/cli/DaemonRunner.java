package org.cornelchute.core.cli;

import ch.qos.logback.classic.LoggerContext;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a daemon until the process is told to stop, then lets it leave. */
public final class DaemonRunner {

  private static final Logger LOG = LoggerFactory.getLogger(DaemonRunner.class);

  private DaemonRunner() {}

  /** Runs a daemon; returns only when the process ends. */
  public static void run(String name, Daemon daemon) {
    run(name, daemon, () -> LOG.info("reload {}: nothing to read again", name));
  }

  /**
   * Runs a daemon; returns only when the process ends.
   *
   * @param reload what the hang-up signal starts
   */
  public static void run(String name, Daemon daemon, Runnable reload) {
    SighupHandler.install(reload);
    daemon.start();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  boolean clean = daemon.drain();
                  daemon.close();
                  LOG.info("{} stopped, every request ended: {}", name, clean);
                  // Lines wait for the thread that writes them; stopping lets it finish.
                  ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
                },
                "shutdown"));
    LOG.info("{} started", name);
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the process at once, because a duty met a broken invariant. */
  public static void halt(String duty, Throwable cause) {
    Runtime.getRuntime().halt(ExitCode.FAILED);
  }

  /** Starts an orderly stop of the process, as a signal would. */
  public static void stop() {
    new Thread(() -> System.exit(ExitCode.OK), "stop").start();
  }
}
