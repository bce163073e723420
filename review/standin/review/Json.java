package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: maps, lists, strings, numbers and booleans. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    private char next() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            return object();
        }
        if (c == '[') {
            return array();
        }
        if (c == '"') {
            return string();
        }
        int from = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(from, mAt);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> "";
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> m = new LinkedHashMap<>();
        mAt++;
        while (next() != '}') {
            String key = string();
            next();
            mAt++; // colon
            m.put(key, value());
            if (next() == ',') {
                mAt++;
            }
        }
        mAt++;
        return m;
    }

    private List<Object> array() {
        List<Object> l = new ArrayList<>();
        mAt++;
        while (next() != ']') {
            l.add(value());
            if (next() == ',') {
                mAt++;
            }
        }
        mAt++;
        return l;
    }

    private String string() {
        next();
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
                case 't' -> b.append('\t');
                case 'r' -> b.append('\r');
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

    /** Writes a string as a JSON literal. */
    static String quote(String s) {
        return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}
