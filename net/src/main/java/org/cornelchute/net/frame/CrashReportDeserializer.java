package org.cornelchute.net.frame;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.core.model.CrashReport;

/**
 * Reads reports of crashes of all builds: those without the last two components, and those with
 * components that this build does not know.
 */
final class CrashReportDeserializer extends StdDeserializer<CrashReport> {

  private static final long serialVersionUID = 1L;

  CrashReportDeserializer() {
    super(CrashReport.class);
  }

  @Override
  public CrashReport deserialize(JsonParser parser, DeserializationContext context)
      throws IOException {
    if (!parser.isExpectedStartArrayToken()) {
      return (CrashReport) context.handleUnexpectedToken(CrashReport.class, parser);
    }
    final int endpoint = readInt(parser, context);
    final long ageMillis = readLong(parser, context);
    final List<Long> parts = readParts(parser, context);
    if (parser.nextToken() == JsonToken.END_ARRAY) {
      return new CrashReport(endpoint, ageMillis, parts);
    }
    final long openMillis = parser.getLongValue();
    final int id = readInt(parser, context);
    for (JsonToken t = parser.nextToken(); t != JsonToken.END_ARRAY; t = parser.nextToken()) {
      if (t == null) {
        context.reportWrongTokenException(
            CrashReport.class, JsonToken.END_ARRAY, "report is not complete");
      }
      parser.skipChildren();
    }
    return new CrashReport(endpoint, ageMillis, parts, openMillis, id);
  }

  private static List<Long> readParts(JsonParser parser, DeserializationContext context)
      throws IOException {
    if (parser.nextToken() != JsonToken.START_ARRAY) {
      context.reportWrongTokenException(
          CrashReport.class, JsonToken.START_ARRAY, "parts are not an array");
    }
    List<Long> parts = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      parts.add(parser.getLongValue());
    }
    return parts;
  }

  private static int readInt(JsonParser parser, DeserializationContext context) throws IOException {
    expectInteger(parser, context);
    return parser.getIntValue();
  }

  private static long readLong(JsonParser parser, DeserializationContext context)
      throws IOException {
    expectInteger(parser, context);
    return parser.getLongValue();
  }

  private static void expectInteger(JsonParser parser, DeserializationContext context)
      throws IOException {
    if (parser.nextToken() != JsonToken.VALUE_NUMBER_INT) {
      context.reportWrongTokenException(
          CrashReport.class, JsonToken.VALUE_NUMBER_INT, "component is not a number");
    }
  }
}
