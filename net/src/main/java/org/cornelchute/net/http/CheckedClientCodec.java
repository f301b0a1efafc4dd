package org.cornelchute.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.net.wire.CheckedResponseDecoder;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Codec of HTTP clients of Reactor Netty that fails on responses with an invalid status and skips
 * interim (1xx) responses, which that library would pass on as final ones.
 *
 * <p>For plain HTTP without pipelining.
 */
public final class CheckedClientCodec
    extends CombinedChannelDuplexHandler<CheckedClientCodec.Decoder, HttpRequestEncoder> {

  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /** Method of the last request; a response to HEAD has no body whatever its head says. */
  private HttpMethod lastMethod = HttpMethod.GET;

  private CheckedClientCodec() {
    init(new Decoder(), new Encoder());
  }

  /** Returns a client that reads its responses with this codec. */
  public static HttpClient applyTo(HttpClient client) {
    return client.doOnChannelInit((observer, channel, address) -> install(channel));
  }

  private static void install(Channel channel) {
    channel
        .pipeline()
        .replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new CheckedClientCodec());
  }

  /** Decodes responses without interim ones. */
  final class Decoder extends CheckedResponseDecoder {

    private boolean skipping;

    private Decoder() {
      super(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
        throws Exception {
      List<Object> decoded = new ArrayList<>(2);
      super.decode(ctx, buffer, decoded);
      for (Object part : decoded) {
        skipping |= isInterim(part);
        if (skipping) {
          skipping = !(part instanceof LastHttpContent);
          ReferenceCountUtil.release(part);
        } else {
          out.add(part);
        }
      }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return super.isContentAlwaysEmpty(message) || lastMethod.equals(HttpMethod.HEAD);
    }

    private static boolean isInterim(Object part) {
      return part instanceof HttpResponse response
          && response.decoderResult().isSuccess()
          && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
  }

  /** Encodes requests and remembers their method. */
  private final class Encoder extends HttpRequestEncoder {

    @Override
    protected void encode(ChannelHandlerContext ctx, Object message, List<Object> out)
        throws Exception {
      if (message instanceof HttpRequest request) {
        lastMethod = request.method();
      }
      super.encode(ctx, message, out);
    }
  }
}
