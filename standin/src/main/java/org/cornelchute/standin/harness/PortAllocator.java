package org.cornelchute.standin.harness;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Allocates free ports of the loopback interface. */
final class PortAllocator {

  private static final int MAX_ATTEMPTS = 100;
  private static final int FIRST_PORT = 20_000;
  private static final int END_PORT = 32_000;

  private final Set<Integer> allocated = new HashSet<>();

  /** Derived from the process id, to avoid collisions between concurrent harness processes. */
  private int nextPort =
      FIRST_PORT + (int) (ProcessHandle.current().pid() * 37 % (END_PORT - FIRST_PORT - 1_000));

  /** Returns a port that is free for TCP and UDP and has not been returned before. */
  int nextPort() throws IOException {
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      int port = nextPort++;
      if (nextPort >= END_PORT) {
        nextPort = FIRST_PORT;
      }
      try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
          DatagramSocket udp = new DatagramSocket(port, loopback)) {
        if (allocated.add(tcp.getLocalPort()) && udp.isBound()) {
          return port;
        }
      } catch (IOException e) {
        continue;
      }
    }
    throw new IOException("no free port between " + FIRST_PORT + " and " + END_PORT);
  }
}
