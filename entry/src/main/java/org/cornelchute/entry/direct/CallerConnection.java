package org.cornelchute.entry.direct;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connection of a caller; passes complete requests on and handles pipelined requests one at a
 * time.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);
  private static final int MAX_PIPELINED_REQUESTS = 16;

  /** Delay of the close of an idle connection. */
  private static final long CLOSE_DELAY_MILLIS = 20;

  /** Size of the parts of a response body whose delivery to the caller is observed. */
  private static final int BODY_PART_BYTES = 65_536;

  private final Listener listener;
  private final Deque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest requestHead;
  private ByteBuf requestBody;
  private OpenCall currentCall;
  private boolean closing;
  private boolean keepAlive;

  /** Rejection that is sent after all earlier responses; may be null. */
  private PendingRejection pendingRejection;

  /** Why the entry closed the connection, empty if it did not. */
  private String closeReason = "";

  /** Completed once all that was written is sent, null if nothing was written yet. */
  private ChannelFuture lastWrite;

  /**
   * Time at which the connection opened, the last request started, or the last part of a response
   * was sent.
   */
  private long waitingSince;

  CallerConnection(Listener listener) {
    this.listener = listener;
  }

  // Netty callbacks

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    waitingSince = listener.currentMillis();
    listener.onConnectionOpened(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (closing) {
        return;
      }
      if (message instanceof HttpRequest request) {
        readHead(request);
      }
      if (message instanceof HttpContent content && requestHead != null) {
        appendBody(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (currentCall != null) {
      listener.onWritabilityChanged(currentCall);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      ctx.close();
      return;
    }
    LOG.error("closing a caller connection, internal failure open={}", !isIdle(), cause);
    rejectRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, EmptyHttpHeaders.INSTANCE, false);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    discardPartialRequest();
    listener.onConnectionClosed(this);
    for (FullHttpRequest request : pipelinedRequests) {
      listener.onRequestDropped(request.headers(), closeReason);
      request.release();
    }
    pipelinedRequests.clear();
    if (pendingRejection != null && pendingRejection.wasRead()) {
      listener.onRequestDropped(pendingRejection.headers(), closeReason);
    }
    pendingRejection = null;
    if (currentCall != null) {
      OpenCall call = currentCall;
      currentCall = null;
      listener.onDisconnect(call, closeReason);
    }
  }

  // Responses

  /** Answers the current request with a complete response; the future ends once it is sent. */
  ChannelFuture writeResponse(FullHttpResponse response) {
    closeAfterLastResponse();
    HttpUtil.setContentLength(response, response.content().readableBytes());
    HttpUtil.setKeepAlive(response, keepAlive);
    ChannelFuture future =
        response.content().readableBytes() <= BODY_PART_BYTES
            ? channel.writeAndFlush(response)
            : writeInParts(response);
    finishResponse(future);
    return future;
  }

  private ChannelFuture writeInParts(FullHttpResponse response) {
    ByteBuf body = response.content();
    channel.write(
        new DefaultHttpResponse(
            response.protocolVersion(), response.status(), response.headers().copy()));
    while (body.readableBytes() > BODY_PART_BYTES) {
      channel
          .write(new DefaultHttpContent(body.readRetainedSlice(BODY_PART_BYTES)))
          .addListener(future -> waitingSince = listener.currentMillis());
    }
    return channel.writeAndFlush(new DefaultLastHttpContent(body));
  }

  /** Starts a response of unknown length, sent in chunked transfer encoding. */
  void startResponse(HttpResponse response) {
    closeAfterLastResponse();
    HttpUtil.setTransferEncodingChunked(response, true);
    HttpUtil.setKeepAlive(response, keepAlive);
    channel.write(response);
  }

  /** Writes a part of the response body; {@link #flush} sends it. */
  void writeBodyPart(byte[] bytes) {
    channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  void flush() {
    channel.flush();
  }

  /** Ends a response that {@link #startResponse} started. */
  void completeResponse() {
    finishResponse(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  /** Closes the connection before the end of the response, so that it is visibly truncated. */
  void abortResponse() {
    currentCall = null;
    closing = true;
    closeReason = "the response to an earlier request was aborted";
    channel.close();
  }

  void setCurrentCall(OpenCall call) {
    currentCall = call;
  }

  /** Returns whether the caller has read most of what was written. */
  boolean isWritable() {
    return channel.isWritable();
  }

  boolean isIdle() {
    return currentCall == null && requestHead == null && !isSending();
  }

  /** Returns the number of requests that were read and wait for the responses to earlier ones. */
  int waitingRequestCount() {
    boolean rejectionWaits = pendingRejection != null && pendingRejection.wasRead();
    return pipelinedRequests.size() + (rejectionWaits ? 1 : 0);
  }

  /** Returns whether a response has ended of which parts are not sent yet. */
  boolean isSending() {
    return lastWrite != null && !lastWrite.isDone();
  }

  /**
   * Closes the connection if it has been idle, or its caller has read nothing, for too long, and
   * rejects a request that has not arrived completely within the sum of both timeouts.
   */
  void closeIfTimedOut(long now, long headerTimeoutMillis, long idleTimeoutMillis) {
    if (currentCall != null || closing && !isSending()) {
      return;
    }
    if (requestHead == null && now - waitingSince > idleTimeoutMillis) {
      close();
    } else if (requestHead != null
        && now - waitingSince > headerTimeoutMillis + idleTimeoutMillis) {
      rejectRequest(HttpResponseStatus.REQUEST_TIMEOUT, requestHead.headers(), false);
    }
  }

  /**
   * Closes the connection if it stays idle for a moment, in which a request is read that has
   * arrived already, for example while the process was stalled.
   */
  void closeIfIdle() {
    long since = waitingSince;
    channel
        .eventLoop()
        .schedule(
            () -> {
              if (isIdle() && waitingSince == since) {
                close();
              }
            },
            CLOSE_DELAY_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  void close() {
    if (isSending()) {
      LOG.warn(
          "closing a caller connection before its response is sent bytesToWritable={}",
          channel.bytesBeforeWritable());
    }
    closing = true;
    closeReason = "the entry closed the connection";
    channel.close();
  }

  // Helpers

  private void readHead(HttpRequest request) {
    waitingSince = listener.currentMillis();
    if (request.decoderResult().isFailure()) {
      boolean headersTooLarge =
          request.decoderResult().cause() instanceof TooLongHttpHeaderException;
      rejectRequest(
          headersTooLarge
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST,
          request.headers(),
          false);
      return;
    }
    requestHead = request;
    requestBody = Unpooled.EMPTY_BUFFER;
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void appendBody(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      rejectRequest(HttpResponseStatus.BAD_REQUEST, requestHead.headers(), false);
      return;
    }
    int size = content.content().readableBytes();
    if (requestBody.readableBytes() + size > listener.maxBodyBytes()) {
      rejectRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, requestHead.headers(), false);
      return;
    }
    if (size > 0) {
      if (requestBody == Unpooled.EMPTY_BUFFER) {
        requestBody = channel.alloc().heapBuffer(size);
      }
      requestBody.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              requestHead.method(),
              requestHead.uri(),
              requestBody,
              requestHead.headers().copy(),
              EmptyHttpHeaders.INSTANCE);
      request.setProtocolVersion(requestHead.protocolVersion());
      requestHead = null;
      requestBody = null;
      listener.onRequestRead();
      if (currentCall == null) {
        startRequest(request);
      } else if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
        pipelinedRequests.add(request);
      } else {
        request.release();
        rejectRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, request.headers(), true);
      }
    }
  }

  /** Lets the connection close if it may not stay open and no request waits that was read whole. */
  private void closeAfterLastResponse() {
    if (!listener.allowsKeepAlive() && pipelinedRequests.isEmpty() && pendingRejection == null) {
      keepAlive = false;
    }
  }

  private void startRequest(FullHttpRequest request) {
    keepAlive = HttpUtil.isKeepAlive(request);
    listener.onRequest(this, request);
  }

  private void finishResponse(ChannelFuture writeFuture) {
    lastWrite = writeFuture;
    writeFuture.addListener(this::onResponseWritten);
    currentCall = null;
    waitingSince = listener.currentMillis();
    if (!keepAlive) {
      closing = true;
      closeReason = "the connection ended with the response to an earlier request";
      writeFuture.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    FullHttpRequest next = pipelinedRequests.poll();
    if (next != null) {
      startRequest(next);
    } else if (pendingRejection != null) {
      PendingRejection rejection = pendingRejection;
      pendingRejection = null;
      rejectRequest(rejection.status(), rejection.headers(), rejection.wasRead());
    }
  }

  /** Closes a connection whose response failed, for which its caller would wait. */
  private void onResponseWritten(Future<? super Void> write) {
    waitingSince = listener.currentMillis();
    if (!write.isSuccess() && channel.isOpen() && !(write.cause() instanceof IOException)) {
      LOG.error("closing a caller connection, its response cannot be written", write.cause());
      closeReason = "internal failure";
      closing = true;
      channel.close();
    }
  }

  /**
   * Rejects the request after the responses to earlier ones, and reads no further requests.
   *
   * @param headers headers that were received, maybe not all of them
   * @param wasRead whether the request was read whole
   */
  private void rejectRequest(HttpResponseStatus status, HttpHeaders headers, boolean wasRead) {
    discardPartialRequest();
    closing = true;
    if (currentCall != null) {
      pendingRejection = new PendingRejection(status, headers, wasRead);
      return;
    }
    listener.onRequestRejected(headers, status.code(), wasRead);
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    HttpUtil.setContentLength(response, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  private void discardPartialRequest() {
    if (requestHead != null) {
      requestHead = null;
      ReferenceCountUtil.release(requestBody);
      requestBody = null;
    }
  }

  /**
   * Rejection of a request behind others.
   *
   * @param headers headers of the request that were received
   * @param wasRead whether the request was read whole
   */
  private record PendingRejection(
      HttpResponseStatus status, HttpHeaders headers, boolean wasRead) {}

  /** Receives the requests of callers and the events of their connections. */
  interface Listener {

    /** Returns the monotonic time in milliseconds. */
    long currentMillis();

    /** Returns the maximum size of a request body. */
    int maxBodyBytes();

    /** Returns whether a connection may stay open after a response. */
    boolean allowsKeepAlive();

    /** Handles a new connection. */
    void onConnectionOpened(CallerConnection connection);

    /** Handles the end of a connection. */
    void onConnectionClosed(CallerConnection connection);

    /**
     * Handles that a request was read whole. Unless the listener fails, it is followed by one call
     * of {@link #onRequest}, {@link #onRequestRejected} or {@link #onRequestDropped}.
     */
    void onRequestRead();

    /** Handles a complete request in its turn; the listener must release it. */
    void onRequest(CallerConnection connection, FullHttpRequest request);

    /**
     * Handles the end of a connection before the response to its call was complete.
     *
     * @param closeReason why the entry closed it, empty if the caller did
     */
    void onDisconnect(OpenCall call, String closeReason);

    /**
     * Handles the end of a connection before the turn of a request that was read whole.
     *
     * @param headers headers of the request
     * @param closeReason why the entry closed it, empty if the caller did
     */
    void onRequestDropped(HttpHeaders headers, String closeReason);

    /** Handles a change of whether the caller of a call has read most of what was written. */
    void onWritabilityChanged(OpenCall call);

    /**
     * Handles a request that was malformed, too large, not received in time or one too many on its
     * connection.
     *
     * @param headers headers of the request, maybe not all of them
     * @param status HTTP status that was returned to the caller
     * @param wasRead whether the request was read whole
     */
    void onRequestRejected(HttpHeaders headers, int status, boolean wasRead);
  }
}
