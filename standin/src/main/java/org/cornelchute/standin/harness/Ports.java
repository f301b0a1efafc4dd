package org.cornelchute.standin.harness;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Finds free ports of the loopback interface. */
final class Ports {

  private static final int TRIES = 100;
  private static final int FIRST = 20_000;
  private static final int LAST = 32_000;

  private final Set<Integer> given = new HashSet<>();
  private int next = FIRST + (int) (ProcessHandle.current().pid() * 37 % (LAST - FIRST - 1_000));

  /** Returns a port that nobody listens on, free for TCP and UDP, and never the same twice. */
  int next() throws IOException {
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    for (int i = 0; i < TRIES; i++) {
      int port = next++;
      if (next >= LAST) {
        next = FIRST;
      }
      try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
          DatagramSocket udp = new DatagramSocket(port, loopback)) {
        if (given.add(tcp.getLocalPort()) && udp.isBound()) {
          return port;
        }
      } catch (IOException e) {
        continue;
      }
    }
    throw new IOException("no free port between " + FIRST + " and " + LAST);
  }
}
