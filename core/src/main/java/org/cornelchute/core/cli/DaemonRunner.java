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
    if (!start(name, daemon)) {
      Runtime.getRuntime().halt(ExitCode.FAILED);
    }
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  boolean drained = daemon.drain();
                  daemon.close();
                  LOG.info("{} stopped, all requests ended in time: {}", name, drained);
                  flushLog();
                },
                "shutdown"));
    LOG.info("{} started", name);
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Starts a daemon. One that fails must not stay, half started, where only its end would make the
   * platform start it again.
   */
  private static boolean start(String name, Daemon daemon) {
    try {
      daemon.start();
      return true;
    } catch (Exception e) {
      // Netty rethrows checked exceptions, such as for an address that is in use.
      LOG.error("{} could not start cause={}", name, e.toString());
      flushLog();
      return false;
    }
  }

  /** Writes pending log events, which are written asynchronously. */
  private static void flushLog() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
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
