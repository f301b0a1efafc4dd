package org.cornelchute.core.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the services of one process and lets them find each other by name.
 *
 * <p>Services start in the order of registration and stop in the reverse order. A name that is
 * missing or of another type is a wiring error and therefore a broken invariant.
 */
public final class Kernel implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(Kernel.class);

  private final Map<String, Object> services = new HashMap<>();
  private final Deque<Service> started = new ArrayDeque<>();

  /**
   * Registers a service and, if it has a life cycle, starts it.
   *
   * @param name unique name, never null
   * @param service the service, never null
   * @param <T> its type
   * @return the service itself
   * @throws IllegalStateException if the name is taken
   */
  public synchronized <T> T register(String name, T service) {
    if (services.putIfAbsent(name, service) != null) {
      throw new IllegalStateException("service name is taken: " + name);
    }
    if (service instanceof Service s) {
      s.start();
      started.push(s);
    }
    return service;
  }

  /**
   * Finds a service by name.
   *
   * @throws IllegalStateException if there is none of that name and type
   */
  public synchronized <T> T find(String name, Class<T> type) {
    Object service = services.get(name);
    if (!type.isInstance(service)) {
      throw new IllegalStateException("no service '" + name + "' of type " + type.getSimpleName());
    }
    return type.cast(service);
  }

  /** Stops every started service, newest first; a failure to stop one does not spare the others. */
  @Override
  public synchronized void close() {
    while (!started.isEmpty()) {
      Service s = started.pop();
      try {
        s.close();
      } catch (RuntimeException e) {
        LOG.warn("service {} failed to stop", s.getClass().getSimpleName(), e);
      }
    }
  }
}
