package org.cornelchute.net.wire;

/** One request on its way; belongs to the event loop. */
public final class WireExchange {

  final WireRequest request;
  final String identity;
  private final WireListener listener;
  private WireConnection connection;
  private boolean sent;
  private boolean ended;

  WireExchange(WireRequest request, WireListener listener) {
    this.request = request;
    this.listener = listener;
    this.identity =
        request.echo().isEmpty() ? null : request.message().headers().get(request.echo());
  }

  /** Ends the exchange without a word to its listener; its connection closes. */
  public void cancel() {
    if (ended) {
      return;
    }
    ended = true;
    if (connection != null) {
      connection.drop();
    } else {
      request.message().release();
    }
  }

  boolean isEnded() {
    return ended;
  }

  WireListener listener() {
    return listener;
  }

  void begin(WireConnection on) {
    connection = on;
    sent = true;
  }

  void end() {
    if (!ended) {
      ended = true;
      listener.end();
    }
  }

  void fail(String reason) {
    if (!ended) {
      ended = true;
      if (!sent) {
        request.message().release();
      }
      listener.failed(sent, reason);
    }
  }
}
