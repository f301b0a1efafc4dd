package org.cornelchute.standin.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.util.LinkedHashMap;
import java.util.Map;

/** Figures of one benchmark in insertion order, printed as a table or as JSON. */
final class Report {

  private final Map<String, Object> figures = new LinkedHashMap<>();

  /** Adds a figure; fractional values are rounded to three decimal places. */
  Report add(String name, Object value) {
    Object rounded = value;
    if (value instanceof Double d) {
      rounded = Math.round(d * 1_000) / 1_000.0;
    }
    figures.put(name, rounded);
    return this;
  }

  /** Returns the figures as a table. */
  String toTable() {
    StringBuilder table = new StringBuilder();
    figures.forEach((name, value) -> table.append(String.format("%-34s %s%n", name, value)));
    return table.toString();
  }

  /** Returns the figures as one JSON document. */
  String toJson() {
    try {
      return new ObjectMapper()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .writeValueAsString(figures);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("figures cannot be encoded as JSON", e);
    }
  }
}
