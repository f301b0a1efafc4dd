package org.cornelchute.net.util;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds ports for processes that are configured before they start.
 *
 * <p>The ports lie below those that the operating system gives to outgoing connections, so that
 * none takes the port before the process binds it.
 */
public final class FreePort {

  private static final int MIN_PORT = 10_000;
  private static final int MAX_PORT = 32_000;
  private static final int MAX_TRIES = 100;

  /** Number of the next port to try; each is tried once, for callers that find several at once. */
  private static final AtomicInteger NEXT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(MAX_PORT - MIN_PORT));

  private FreePort() {}

  /**
   * Returns a port on which nothing listens.
   *
   * @param host address of this machine
   */
  public static int find(String host) throws IOException {
    InetAddress address = InetAddress.getByName(host);
    IOException lastFailure = null;
    for (int i = 0; i < MAX_TRIES; i++) {
      int port = MIN_PORT + Math.floorMod(NEXT.getAndIncrement(), MAX_PORT - MIN_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, address)) {
        return socket.getLocalPort();
      } catch (IOException e) {
        lastFailure = e;
      }
    }
    throw new IOException("no free port at " + host + " in " + MAX_TRIES + " tries", lastFailure);
  }

  /** Returns {@code host:port} with a port on which nothing listens. */
  public static String findAddress(String host) throws IOException {
    return host + ":" + find(host);
  }
}
