package org.cornelchute.net.http;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Answers HTTP requests on a connection with the current content of one text page, and those for
 * the paths of other pages with these.
 */
public final class TextPageHandler extends ChannelInboundHandlerAdapter {

  private final Supplier<String> textSupplier;
  private final Map<String, OperatorPage> pageByPath;
  private String uri = "";
  private boolean keepAlive;

  /** Creates a handler. While the supplier returns null, requests are answered with status 503. */
  public TextPageHandler(Supplier<String> textSupplier) {
    this(textSupplier, Map.of());
  }

  /**
   * Creates a handler with other pages.
   *
   * @param pageByPath pages by path, which are answered to any method
   */
  TextPageHandler(Supplier<String> textSupplier, Map<String, OperatorPage> pageByPath) {
    this.textSupplier = textSupplier;
    this.pageByPath = Map.copyOf(pageByPath);
  }

  /**
   * Renders the metrics in the text format of Prometheus, one line of name and value per sample.
   */
  public static String renderMetrics(MetricRegistry metrics) {
    StringBuilder text = new StringBuilder(1_024);
    for (Map.Entry<String, Metric> entry : metrics.getMetrics().entrySet()) {
      String name = "cornelchute_" + entry.getKey().replace('.', '_');
      Metric metric = entry.getValue();
      if (metric instanceof Gauge<?> gauge) {
        appendLine(text, name, gauge.getValue());
      }
      if (metric instanceof Counting counter) {
        appendLine(text, name + "_total", counter.getCount());
      }
      if (metric instanceof Sampling sampling) {
        Snapshot values = sampling.getSnapshot();
        appendLine(text, name + "{quantile=\"0.5\"}", values.getMedian());
        appendLine(text, name + "{quantile=\"0.95\"}", values.get95thPercentile());
        appendLine(text, name + "{quantile=\"1\"}", values.getMax());
      }
    }
    return text.toString();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpRequest request) {
      uri = request.uri();
      keepAlive = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
    }
    boolean last = message instanceof LastHttpContent;
    ReferenceCountUtil.release(message);
    if (last) {
      writeResponse(ctx);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  private void writeResponse(ChannelHandlerContext ctx) {
    PageResponse page = createResponse();
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            page.status(),
            Unpooled.copiedBuffer(page.text(), StandardCharsets.UTF_8));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
    HttpUtil.setContentLength(response, response.content().readableBytes());
    HttpUtil.setKeepAlive(response, keepAlive);
    ChannelFuture written = ctx.writeAndFlush(response);
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private PageResponse createResponse() {
    if (pageByPath.isEmpty()) {
      return PageResponse.ofText(textSupplier.get());
    }
    OperatorPage page;
    Map<String, List<String>> parameters;
    try {
      QueryStringDecoder query = new QueryStringDecoder(uri);
      page = pageByPath.get(query.path());
      parameters = page == null ? Map.of() : query.parameters();
    } catch (IllegalArgumentException e) {
      return PageResponse.ofJson(
          HttpResponseStatus.BAD_REQUEST, "{\"error\":\"malformed escape in the request\"}");
    }
    return page == null ? PageResponse.ofText(textSupplier.get()) : page.respond(parameters);
  }

  private static void appendLine(StringBuilder text, String name, Object value) {
    if (value instanceof Number) {
      text.append(name).append(' ').append(value).append('\n');
    }
  }
}
