package org.cornelchute.core.cli;

import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles SIGHUP, which would otherwise end the process.
 *
 * <p>Java has no supported API for signals, so {@code sun.misc.Signal} is called by reflection. On
 * a runtime without this class, SIGHUP keeps its default action.
 */
final class SighupHandler {

  private static final Logger LOG = LoggerFactory.getLogger(SighupHandler.class);

  private SighupHandler() {}

  /** Installs a handler that runs an action on a separate thread for each SIGHUP. */
  static void install(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              SighupHandler.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                if (method.getName().equals("handle")) {
                  action.run();
                }
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
    } catch (ReflectiveOperationException e) {
      LOG.warn("cannot install a SIGHUP handler, SIGHUP ends the process cause={}", e.toString());
    }
  }
}
