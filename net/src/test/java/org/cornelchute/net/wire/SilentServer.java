package org.cornelchute.net.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

/**
 * Server that responds to the first request of each connection, once a number of connections are
 * open, and never to a later one; connections stay open.
 */
final class SilentServer implements AutoCloseable {

  private static final byte[] RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

  private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  private final CountDownLatch connected;

  /**
   * Starts the server.
   *
   * @param connections number of connections that must be open before the first response
   */
  SilentServer(int connections) throws IOException {
    connected = new CountDownLatch(connections);
    startThread(this::accept);
  }

  /** Returns the address as {@code ip:port}. */
  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connected.countDown();
        startThread(() -> respondOnce(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void respondOnce(Socket accepted) {
    try (Socket socket = accepted) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      boolean responded = false;
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (line.isEmpty() && !responded) {
          responded = true;
          connected.await();
          socket.getOutputStream().write(RESPONSE);
        }
      }
    } catch (IOException | InterruptedException e) {
      // The test has ended or the client has closed the connection.
      return;
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }
}
