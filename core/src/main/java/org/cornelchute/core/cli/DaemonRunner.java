package org.cornelchute.core.cli;

import ch.qos.logback.classic.LoggerContext;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a daemon until the process receives a termination signal, then shuts it down gracefully. */
public final class DaemonRunner {

  private static final Logger LOG = LoggerFactory.getLogger(DaemonRunner.class);

  private DaemonRunner() {}

  /** Runs a daemon; returns only when the process ends. */
  public static void run(String name, Daemon daemon) {
    run(name, daemon, () -> LOG.info("SIGHUP ignored: {} does not reload its settings", name));
  }

  /**
   * Runs a daemon; returns only when the process ends.
   *
   * @param reload action to run on SIGHUP
   */
  public static void run(String name, Daemon daemon, Runnable reload) {
    SighupHandler.install(reload);
    daemon.start();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  boolean drained = daemon.drain();
                  daemon.close();
                  LOG.info("{} stopped, all requests ended in time: {}", name, drained);
                  // Log events are written asynchronously; stopping the context flushes them.
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

  /** Ends the process immediately because a duty failed with an unexpected exception. */
  public static void halt(String duty, Throwable cause) {
    Runtime.getRuntime().halt(ExitCode.FAILED);
  }

  /** Starts a graceful shutdown of the process, as a termination signal would. */
  public static void stop() {
    new Thread(() -> System.exit(ExitCode.OK), "stop").start();
  }
}
