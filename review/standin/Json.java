import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON: parses to maps, lists, strings, longs, doubles and booleans, and writes them. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  /** Returns a map of the given keys and values, in order. */
  static Map<String, Object> map(Object... keysAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      map.put((String) keysAndValues[i], keysAndValues[i + 1]);
    }
    return map;
  }

  static String write(Object value) {
    if (value instanceof Map<?, ?> map) {
      List<String> fields = new ArrayList<>();
      map.forEach((k, v) -> fields.add(write(k) + ":" + write(v)));
      return "{" + String.join(",", fields) + "}";
    }
    if (value instanceof List<?> list) {
      List<String> items = new ArrayList<>();
      list.forEach(v -> items.add(write(v)));
      return "[" + String.join(",", items) + "]";
    }
    if (value instanceof String s) {
      return "\"" + s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
    }
    return String.valueOf(value);
  }

  private Object value() {
    skipSpace();
    char c = text.charAt(at);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      while (!closes('}')) {
        String key = (String) value();
        skipSpace();
        at++; // the colon
        map.put(key, value());
      }
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      while (!closes(']')) {
        list.add(value());
      }
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    if (word.equals("true") || word.equals("false")) {
      return word.equals("true");
    }
    if (word.equals("null")) {
      return null;
    }
    if (word.matches("-?[0-9]+")) {
      return Long.parseLong(word);
    }
    return Double.parseDouble(word);
  }

  private boolean closes(char end) {
    skipSpace();
    if (text.charAt(at) == ',') {
      at++;
      skipSpace();
    }
    if (text.charAt(at) == end) {
      at++;
      return true;
    }
    return false;
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        char escaped = text.charAt(at++);
        if (escaped == 'u') {
          c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
          at += 4;
        } else {
          int special = "nrtbf".indexOf(escaped);
          c = special < 0 ? escaped : "\n\r\t\b\f".charAt(special);
        }
      }
      out.append(c);
    }
    at++;
    return out.toString();
  }

  private void skipSpace() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }
}
