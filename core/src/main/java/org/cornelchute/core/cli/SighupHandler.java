package org.cornelchute.core.cli;

import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the hang-up signal, which would otherwise end the process.
 *
 * <p>The only way to a signal on this runtime is a class outside the supported interface, so it is
 * reached by name; where it is missing, the signal keeps its usual meaning.
 */
final class SighupHandler {

  private static final Logger LOG = LoggerFactory.getLogger(SighupHandler.class);

  private SighupHandler() {}

  /** Runs an action on a thread of its own for each hang-up. */
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
      LOG.warn("the hang-up signal cannot be handled cause={}", e.toString());
    }
  }
}
