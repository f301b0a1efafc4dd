package org.cornelchute.core.kernel;

/** A part of a process with a life cycle, driven by the {@link Kernel}. */
public interface Service extends AutoCloseable {

  /** Starts the service; called once, before {@link #close()}. */
  default void start() {}

  /** Stops the service and waits until it has stopped; called at most once. */
  @Override
  void close();
}
