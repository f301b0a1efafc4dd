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

  private static final int MAX_PIPELINED = 16;

  private final Listener listener;
  private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest head;
  private ByteBuf body;
  private LiveCall current;
  private boolean closing;
  private boolean keepAlive;
  private long since;

  CallerConnection(Listener listener) {
    this.listener = listener;
  }

  // Netty

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    since = listener.now();
    listener.opened(this);
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
      if (message instanceof HttpContent c && head != null) {
        append(c);
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
    dropHead();
    waiting.forEach(ReferenceCountUtil::release);
    waiting.clear();
    listener.closed(this);
    if (current != null) {
      LiveCall c = current;
      current = null;
      listener.gone(c);
    }
  }

  // Answers

  /** Answers the request at hand with one whole message. */
  void answer(FullHttpResponse response) {
    if (!listener.accepting()) {
      keepAlive = false;
    }
    HttpUtil.setContentLength(response, response.content().readableBytes());
    HttpUtil.setKeepAlive(response, keepAlive);
    done(channel.writeAndFlush(response));
  }

  /** Begins an answer whose length is not known. */
  void begin(HttpResponse response) {
    if (!listener.accepting()) {
      keepAlive = false;
    }
    HttpUtil.setTransferEncodingChunked(response, true);
    HttpUtil.setKeepAlive(response, keepAlive);
    channel.write(response);
  }

  /** Passes a part on; {@link #flush} sends it. */
  void part(byte[] bytes) {
    channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  void flush() {
    channel.flush();
  }

  /** Ends an answer that was begun. */
  void end() {
    done(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  /** Closes the connection without the end of the answer. */
  void cut() {
    current = null;
    closing = true;
    channel.close();
  }

  void carry(LiveCall call) {
    current = call;
  }

  boolean isIdle() {
    return current == null && head == null;
  }

  /** Closes the connection if it took too long over a head or was idle too long. */
  void checkTime(long now, long headerMillis, long idleMillis) {
    if (current != null || closing) {
      return;
    }
    if (head == null && now - since > idleMillis) {
      close();
    } else if (head != null && now - since > headerMillis + idleMillis) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT);
    }
  }

  void close() {
    closing = true;
    channel.close();
  }

  // Helpers

  private void readHead(HttpRequest r) {
    since = listener.now();
    if (r.decoderResult().isFailure()) {
      boolean large = r.decoderResult().cause() instanceof TooLongHttpHeaderException;
      refuse(
          large
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
      return;
    }
    head = r;
    body = Unpooled.EMPTY_BUFFER;
    if (HttpUtil.is100ContinueExpected(r)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void append(HttpContent c) {
    if (c.decoderResult().isFailure()) {
      refuse(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    int size = c.content().readableBytes();
    if (body.readableBytes() + size > listener.maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (size > 0) {
      if (body == Unpooled.EMPTY_BUFFER) {
        body = channel.alloc().heapBuffer(size);
      }
      body.writeBytes(c.content());
    }
    if (c instanceof LastHttpContent) {
      FullHttpRequest whole =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              head.method(),
              head.uri(),
              body,
              head.headers().copy(),
              EmptyHttpHeaders.INSTANCE);
      whole.setProtocolVersion(head.protocolVersion());
      head = null;
      body = null;
      if (current == null) {
        hand(whole);
      } else if (waiting.size() < MAX_PIPELINED) {
        waiting.add(whole);
      } else {
        whole.release();
        cutOff();
      }
    }
  }

  private void hand(FullHttpRequest whole) {
    keepAlive = HttpUtil.isKeepAlive(whole);
    listener.request(this, whole);
  }

  private void done(ChannelFuture written) {
    current = null;
    since = listener.now();
    if (!keepAlive) {
      closing = true;
      written.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    FullHttpRequest next = waiting.poll();
    if (next != null) {
      hand(next);
    }
  }

  private void refuse(HttpResponseStatus status) {
    dropHead();
    if (current != null) {
      cutOff();
      return;
    }
    closing = true;
    listener.malformed(status.code());
    FullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    HttpUtil.setContentLength(r, 0);
    r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
  }

  private void cutOff() {
    closing = true;
    channel.close();
  }

  private void dropHead() {
    if (head != null) {
      head = null;
      ReferenceCountUtil.release(body);
      body = null;
    }
  }

  /** Takes requests and the loss of callers. */
  interface Listener {

    /** Returns steady milliseconds. */
    long now();

    /** Returns the largest body that is taken. */
    int maxBodyBytes();

    /** Returns whether connections are kept after an answer. */
    boolean accepting();

    /** Notes a new connection. */
    void opened(CallerConnection c);

    /** Notes the end of a connection. */
    void closed(CallerConnection c);

    /** Takes a whole request; the receiver releases it. */
    void request(CallerConnection c, FullHttpRequest request);

    /** Notes that the caller of a request left before its answer. */
    void gone(LiveCall call);

    /** Notes a request that was refused as it was not proper HTTP. */
    void malformed(int status);
  }
}
