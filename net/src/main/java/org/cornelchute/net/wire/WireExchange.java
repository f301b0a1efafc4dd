package org.cornelchute.net.wire;

import io.netty.handler.codec.http.HttpResponse;

/** A request and its response; confined to the event loop. */
public final class WireExchange {

  final WireRequest request;

  /** Value of the correlation header of the request, null if it has none or an empty one. */
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
            : emptyToNull(request.message().headers().get(request.correlationHeader()));
  }

  /**
   * Cancels the exchange without notifying the listener, and closes the connection. If no response
   * has begun, the kernel sends nothing more of the request.
   */
  public void cancel() {
    if (ended) {
      return;
    }
    ended = true;
    if (connection != null) {
      connection.cancel();
    } else {
      request.message().release();
    }
  }

  /**
   * Cancels the exchange like {@link #cancel()} because its response did not arrive in time, and
   * closes the idle connections to the address, which may be dead as well.
   */
  public void cancelOnTimeout() {
    if (ended) {
      return;
    }
    if (connection == null) {
      cancel();
      return;
    }
    ended = true;
    connection.closeOnTimeout();
  }

  /**
   * Ends the exchange because the listener does not accept the response: closes the connection,
   * records a fault of the server and notifies the listener of the failure.
   */
  public void reject(String reason) {
    if (!ended && connection != null) {
      connection.rejectResponse(reason);
    }
  }

  /** Pauses or resumes reading the response, so that a slow reader of it is not overrun. */
  public void setReading(boolean reading) {
    if (!ended && connection != null) {
      connection.setReading(reading);
    }
  }

  /**
   * Returns whether the response to this request can be told from responses to others: endpoints
   * echo its correlation header, or the request names none because they never echo one.
   */
  boolean isCorrelated() {
    return correlationId != null || request.correlationHeader().isEmpty();
  }

  /** Returns whose response the correlation headers of a response say that it is. */
  Origin originOf(HttpResponse response) {
    if (request.correlationHeader().isEmpty()) {
      return Origin.THIS_REQUEST;
    }
    int own = 0;
    int others = 0;
    for (String id : response.headers().getAll(request.correlationHeader())) {
      if (id.equals(correlationId)) {
        own++;
      } else if (!id.isEmpty()) {
        others++;
      }
    }
    if (own == 0 && others == 0) {
      return correlationId == null ? Origin.THIS_REQUEST : Origin.UNKNOWN;
    }
    if (own == 0) {
      return Origin.OTHER_REQUEST;
    }
    return others == 0 ? Origin.THIS_REQUEST : Origin.UNKNOWN;
  }

  boolean isEnded() {
    return ended;
  }

  WireListener listener() {
    return listener;
  }

  void onSend(WireConnection newConnection) {
    connection = newConnection;
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

  private static String emptyToNull(String text) {
    return text == null || text.isEmpty() ? null : text;
  }

  /** Request to which a response belongs. */
  enum Origin {
    THIS_REQUEST,
    OTHER_REQUEST,

    /** The response names no request, or several. */
    UNKNOWN
  }
}
