package org.cornelchute.core.cli;

import ch.qos.logback.classic.LoggerContext;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a daemon until the process receives a termination signal, then shuts it down gracefully. */
public final class DaemonRunner {

  private static final Logger LOG = LoggerFactory.getLogger(DaemonRunner.class);

  /** Time for which the end of a process that has not started yet is delayed. */
  private static final long MAX_START_MILLIS = 1_000;

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
    CountDownLatch started = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> shutDown(name, daemon, started), "shutdown"));
    if (!start(name, daemon)) {
      Runtime.getRuntime().halt(ExitCode.FAILED);
    }
    started.countDown();
    LOG.info("{} started", name);
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Drains and closes a daemon; one that is being started first, as its sockets may be open. */
  private static void shutDown(String name, Daemon daemon, CountDownLatch started) {
    try {
      if (!started.await(MAX_START_MILLIS, TimeUnit.MILLISECONDS)) {
        LOG.warn("{} is stopped before it has started", name);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    boolean drained = daemon.drain();
    daemon.close();
    LOG.info("{} stopped, all requests ended in time: {}", name, drained);
    flushLog();
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
