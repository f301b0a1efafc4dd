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
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/** One caller's connection: reads whole requests and answers them one after another. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  private static final int MAX_PIPELINED_REQUESTS = 16;

  private final Listener listener;
  private final Deque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest requestHead;
  private ByteBuf requestBody;
  private OpenCall currentCall;
  private boolean closing;
  private boolean keepAlive;
  private long waitingSince;

  CallerConnection(Listener listener) {
    this.listener = listener;
  }

  // Netty

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
      if (message instanceof HttpRequest r) {
        readHead(r);
      }
      if (message instanceof HttpContent c && requestHead != null) {
        appendBody(c);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    discardPartialRequest();
    pipelinedRequests.forEach(ReferenceCountUtil::release);
    pipelinedRequests.clear();
    listener.onConnectionClosed(this);
    if (currentCall != null) {
      OpenCall c = currentCall;
      currentCall = null;
      listener.onCallerDisconnect(c);
    }
  }

  // Answers

  /** Answers the request at hand with one whole message. */
  void writeResponse(FullHttpResponse response) {
    if (!listener.allowsKeepAlive()) {
      keepAlive = false;
    }
    HttpUtil.setContentLength(response, response.content().readableBytes());
    HttpUtil.setKeepAlive(response, keepAlive);
    finishResponse(channel.writeAndFlush(response));
  }

  /** Begins an answer whose length is not known. */
  void startResponse(HttpResponse response) {
    if (!listener.allowsKeepAlive()) {
      keepAlive = false;
    }
    HttpUtil.setTransferEncodingChunked(response, true);
    HttpUtil.setKeepAlive(response, keepAlive);
    channel.write(response);
  }

  /** Passes a part on; {@link #flush} sends it. */
  void writeBodyPart(byte[] bytes) {
    channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  void flush() {
    channel.flush();
  }

  /** Ends an answer that was begun. */
  void completeResponse() {
    finishResponse(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  /** Closes the connection without the end of the answer. */
  void abortResponse() {
    currentCall = null;
    closing = true;
    channel.close();
  }

  void setCurrentCall(OpenCall call) {
    currentCall = call;
  }

  boolean isIdle() {
    return currentCall == null && requestHead == null;
  }

  /** Closes the connection if it took too long over a head or was idle too long. */
  void closeIfTimedOut(long now, long headerMillis, long idleMillis) {
    if (currentCall != null || closing) {
      return;
    }
    if (requestHead == null && now - waitingSince > idleMillis) {
      close();
    } else if (requestHead != null && now - waitingSince > headerMillis + idleMillis) {
      rejectMalformed(HttpResponseStatus.REQUEST_TIMEOUT);
    }
  }

  void close() {
    closing = true;
    channel.close();
  }

  // Helpers

  private void readHead(HttpRequest r) {
    waitingSince = listener.currentMillis();
    if (r.decoderResult().isFailure()) {
      boolean large = r.decoderResult().cause() instanceof TooLongHttpHeaderException;
      rejectMalformed(
          large
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
      return;
    }
    requestHead = r;
    requestBody = Unpooled.EMPTY_BUFFER;
    if (HttpUtil.is100ContinueExpected(r)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void appendBody(HttpContent c) {
    if (c.decoderResult().isFailure()) {
      rejectMalformed(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    int size = c.content().readableBytes();
    if (requestBody.readableBytes() + size > listener.maxBodyBytes()) {
      rejectMalformed(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (size > 0) {
      if (requestBody == Unpooled.EMPTY_BUFFER) {
        requestBody = channel.alloc().heapBuffer(size);
      }
      requestBody.writeBytes(c.content());
    }
    if (c instanceof LastHttpContent) {
      FullHttpRequest whole =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              requestHead.method(),
              requestHead.uri(),
              requestBody,
              requestHead.headers().copy(),
              EmptyHttpHeaders.INSTANCE);
      whole.setProtocolVersion(requestHead.protocolVersion());
      requestHead = null;
      requestBody = null;
      if (currentCall == null) {
        startRequest(whole);
      } else if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
        pipelinedRequests.add(whole);
      } else {
        whole.release();
        closeWithoutResponse();
      }
    }
  }

  private void startRequest(FullHttpRequest whole) {
    keepAlive = HttpUtil.isKeepAlive(whole);
    listener.onRequest(this, whole);
  }

  private void finishResponse(ChannelFuture written) {
    currentCall = null;
    waitingSince = listener.currentMillis();
    if (!keepAlive) {
      closing = true;
      written.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    FullHttpRequest next = pipelinedRequests.poll();
    if (next != null) {
      startRequest(next);
    }
  }

  private void rejectMalformed(HttpResponseStatus status) {
    discardPartialRequest();
    if (currentCall != null) {
      closeWithoutResponse();
      return;
    }
    closing = true;
    listener.onMalformedRequest(status.code());
    FullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    HttpUtil.setContentLength(r, 0);
    r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
  }

  private void closeWithoutResponse() {
    closing = true;
    channel.close();
  }

  private void discardPartialRequest() {
    if (requestHead != null) {
      requestHead = null;
      ReferenceCountUtil.release(requestBody);
      requestBody = null;
    }
  }

  /** Takes requests and the loss of callers. */
  interface Listener {

    /** Returns steady milliseconds. */
    long currentMillis();

    /** Returns the largest body that is taken. */
    int maxBodyBytes();

    /** Returns whether connections are kept after an answer. */
    boolean allowsKeepAlive();

    /** Notes a new connection. */
    void onConnectionOpened(CallerConnection c);

    /** Notes the end of a connection. */
    void onConnectionClosed(CallerConnection c);

    /** Takes a whole request; the receiver releases it. */
    void onRequest(CallerConnection c, FullHttpRequest request);

    /** Notes that the caller of a request left before its answer. */
    void onCallerDisconnect(OpenCall call);

    /** Notes a request that was refused as it was not proper HTTP. */
    void onMalformedRequest(int status);
  }
}
