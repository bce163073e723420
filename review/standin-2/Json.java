package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles and booleans. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    private Object value() {
        skip();
        char c = mText.charAt(mAt);
        if (c == '{') {
            return object();
        }
        if (c == '[') {
            return list();
        }
        if (c == '"') {
            return string();
        }
        int start = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        if (word.equals("true") || word.equals("false")) {
            return Boolean.valueOf(word);
        }
        if (word.equals("null")) {
            return null;
        }
        if (word.contains(".") || word.contains("e") || word.contains("E")) {
            return Double.valueOf(word);
        }
        return Long.valueOf(word);
    }

    private Map<String, Object> object() {
        Map<String, Object> out = new LinkedHashMap<>();
        mAt++;
        skip();
        while (mText.charAt(mAt) != '}') {
            String key = string();
            skip();
            mAt++; // the colon
            out.put(key, value());
            skip();
            if (mText.charAt(mAt) == ',') {
                mAt++;
                skip();
            }
        }
        mAt++;
        return out;
    }

    private List<Object> list() {
        List<Object> out = new ArrayList<>();
        mAt++;
        skip();
        while (mText.charAt(mAt) != ']') {
            out.add(value());
            skip();
            if (mText.charAt(mAt) == ',') {
                mAt++;
                skip();
            }
        }
        mAt++;
        return out;
    }

    private String string() {
        StringBuilder b = new StringBuilder();
        mAt++;
        while (mText.charAt(mAt) != '"') {
            char c = mText.charAt(mAt++);
            if (c != '\\') {
                b.append(c);
                continue;
            }
            char e = mText.charAt(mAt++);
            switch (e) {
                case 'n' -> b.append('\n');
                case 'r' -> b.append('\r');
                case 't' -> b.append('\t');
                case 'b' -> b.append('\b');
                case 'f' -> b.append('\f');
                case 'u' -> {
                    b.append((char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16));
                    mAt += 4;
                }
                default -> b.append(e);
            }
        }
        mAt++;
        return b.toString();
    }

    private void skip() {
        while (mAt < mText.length() && " \n\r\t".indexOf(mText.charAt(mAt)) >= 0) {
            mAt++;
        }
    }

    static String write(Object o) {
        StringBuilder b = new StringBuilder();
        write(b, o);
        return b.toString();
    }

    private static void write(StringBuilder b, Object o) {
        if (o instanceof Map<?, ?> m) {
            b.append('{');
            String comma = "";
            for (Map.Entry<?, ?> e : m.entrySet()) {
                b.append(comma);
                write(b, e.getKey());
                b.append(':');
                write(b, e.getValue());
                comma = ",";
            }
            b.append('}');
        } else if (o instanceof List<?> l) {
            b.append('[');
            String comma = "";
            for (Object x : l) {
                b.append(comma);
                write(b, x);
                comma = ",";
            }
            b.append(']');
        } else if (o instanceof String s) {
            b.append('"');
            for (char c : s.toCharArray()) {
                if (c == '"' || c == '\\') {
                    b.append('\\').append(c);
                } else if (c < ' ') {
                    b.append(String.format("\\u%04x", (int) c));
                } else {
                    b.append(c);
                }
            }
            b.append('"');
        } else {
            b.append(o);
        }
    }
}
