package org.cornelchute.core.cli;

/** A daemon as its program drives it. */
public interface Daemon extends AutoCloseable {

  /** Starts all duties and opens all sockets. */
  void start();

  /**
   * Leaves without cutting off a request.
   *
   * @return whether everything ended in time
   */
  boolean drain();

  /** Closes all sockets and stops all duties. */
  @Override
  void close();
}
