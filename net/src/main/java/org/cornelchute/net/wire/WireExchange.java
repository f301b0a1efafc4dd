package org.cornelchute.net.wire;

/** One request on its way; belongs to the event loop. */
public final class WireExchange {

  final WireRequest request;
  final String correlationId;
  private final WireListener listener;
  private WireConnection connection;
  private boolean possiblySent;
  private boolean ended;

  WireExchange(WireRequest request, WireListener listener) {
    this.request = request;
    this.listener = listener;
    this.correlationId =
        request.correlationHeader().isEmpty()
            ? null
            : request.message().headers().get(request.correlationHeader());
  }

  /** Ends the exchange without a word to its listener; its connection closes. */
  public void cancel() {
    if (ended) {
      return;
    }
    ended = true;
    if (connection != null) {
      connection.close();
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

  void onSend(WireConnection on) {
    connection = on;
    possiblySent = true;
  }

  void complete() {
    if (!ended) {
      ended = true;
      listener.onEnd();
    }
  }

  void fail(String reason) {
    if (!ended) {
      ended = true;
      if (!possiblySent) {
        request.message().release();
      }
      listener.onFailure(possiblySent, reason);
    }
  }
}
