package org.cornelchute.net.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Answers each request with a prefix and then the same bytes again until the client closes. */
public final class FloodServer implements AutoCloseable {

  private static final int BATCH_BYTES = 16_384;

  private final ServerSocket server;
  private final byte[] prefix;
  private final byte[] batch;
  private final BlockingQueue<Long> sentBytes = new LinkedBlockingQueue<>();

  /** Starts a server with the bytes before and within the flood. */
  public FloodServer(String prefix, String pattern) throws IOException {
    this.prefix = prefix.getBytes(StandardCharsets.US_ASCII);
    this.batch =
        pattern
            .repeat(Math.max(1, BATCH_BYTES / pattern.length()))
            .getBytes(StandardCharsets.US_ASCII);
    this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    startDaemon(this::accept);
  }

  /** Returns the address of the server, {@code host:port}. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Returns the number of bytes sent on each connection that the client has closed, in order. */
  public BlockingQueue<Long> sentBytes() {
    return sentBytes;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        startDaemon(() -> flood(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void flood(Socket accepted) {
    long sent = 0;
    try (Socket socket = accepted) {
      readHead(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      out.write(prefix);
      sent += prefix.length;
      while (true) {
        out.write(batch);
        sent += batch.length;
      }
    } catch (IOException e) {
      sentBytes.add(sent);
    }
  }

  private static void readHead(InputStream in) throws IOException {
    int newlines = 0;
    while (newlines < 2) {
      int b = in.read();
      if (b < 0) {
        throw new IOException("client closed before the end of its request");
      }
      newlines = b == '\n' ? newlines + 1 : b == '\r' ? newlines : 0;
    }
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }
}
