package org.cornelchute.core.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registry of the services of one process, which manages their life cycle.
 *
 * <p>Services start in the order of registration and stop in the reverse order. Looking up an
 * unknown name or a wrong type is a programming error and throws {@link IllegalStateException}.
 */
public final class Kernel implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(Kernel.class);

  private final Map<String, Object> services = new HashMap<>();
  private final Deque<Service> started = new ArrayDeque<>();

  /**
   * Registers a service and starts it if it implements {@link Service}.
   *
   * @param name unique name, never null
   * @param service the service, never null
   * @param <T> its type
   * @return the service itself
   * @throws IllegalStateException if the name is already registered
   */
  public synchronized <T> T register(String name, T service) {
    if (services.putIfAbsent(name, service) != null) {
      throw new IllegalStateException("service name is already registered: " + name);
    }
    if (service instanceof Service startable) {
      startable.start();
      started.push(startable);
    }
    return service;
  }

  /**
   * Finds a service by name.
   *
   * @throws IllegalStateException if no service has that name and type
   */
  public synchronized <T> T find(String name, Class<T> type) {
    Object service = services.get(name);
    if (!type.isInstance(service)) {
      throw new IllegalStateException("no service '" + name + "' of type " + type.getSimpleName());
    }
    return type.cast(service);
  }

  /** Stops all started services in reverse order; if one fails to stop, the others still stop. */
  @Override
  public synchronized void close() {
    while (!started.isEmpty()) {
      Service service = started.pop();
      try {
        service.close();
      } catch (RuntimeException e) {
        LOG.warn("service {} failed to stop", service.getClass().getSimpleName(), e);
      }
    }
  }
}
