package lavfake

// bodyOfTwo is a body, with the line that states its length and the end of the head.
const bodyOfTwo = "Content-Length: 2\r\n\r\n{}"

// AnswersOfNoStatus returns answers whose status is none of HTTP, or wasn't asked for. Each head
// contains further lines, which end with CRLF.
func AnswersOfNoStatus(lines string) []string {
	var answers []string
	for _, status := range []string{"000", "099", "101", "600", "700", "999", "+20", "-20"} {
		answers = append(answers, "HTTP/1.1 "+status+" x\r\n"+lines+bodyOfTwo)
	}
	return answers
}

// AnswersOfNoFieldName returns answers in whose heads the name of a field holds a blank or a control byte, also in an
// informational head before them. Each head contains further lines, which end with CRLF.
func AnswersOfNoFieldName(lines string) []string {
	const success, interim = "HTTP/1.1 200 x\r\n", "HTTP/1.1 103 x\r\n"
	var answers []string
	for _, field := range []string{
		"A B: x", "A : x", "A\t: x", "A\x01B: x", "A\x7fB: x", "A\x00B: x", "Caf\xe9: x", "A(B): x", "Location B: /x",
	} {
		answers = append(answers, success+field+"\r\n"+lines+bodyOfTwo, interim+field+"\r\n\r\n"+success+lines+bodyOfTwo)
	}
	return append(answers,
		success+lines+"Content-Length : 2\r\n\r\n{} and more",
		success+lines+"Transfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
}
