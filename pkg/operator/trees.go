package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/tree"
)

// RevisionHeader is the response header that contains the revision of the tree.
const RevisionHeader = "Martenwheel-Tree-Revision"

// getTree returns the tree in force, or the tree at an older revision, as YAML.
func (s *Server) getTree(c *fiber.Ctx) error {
	revision, err := queryNumber(c, "revision", uint64(s.config.Trees.Current().Revision()))
	if err != nil {
		return err
	}
	wanted, err := s.treeAt(tree.Revision(revision))
	if err != nil {
		return err
	}
	c.Set(RevisionHeader, strconv.FormatUint(uint64(wanted.Revision()), 10))
	c.Set(fiber.HeaderContentType, "application/yaml")
	return c.Send(wanted.Marshal())
}

// treeAt returns the tree at a revision, which must not be newer than the one in
// force.
func (s *Server) treeAt(revision tree.Revision) (*tree.Tree, error) {
	current := s.config.Trees.Current()
	if revision == current.Revision() {
		return current, nil
	}
	if revision > current.Revision() {
		return nil, badRequest(errors.Errorf("there is no revision %d, the tree is at %d", revision, current.Revision()))
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return s.config.Trees.At(ctx, revision)
}

// getEffective returns the effective settings of a node of the tree.
func (s *Server) getEffective(c *fiber.Ctx) error {
	explained, err := s.explain(c)
	if err != nil {
		return err
	}
	settings := make(map[string]string, len(explained.Origins))
	for _, origin := range explained.Origins {
		settings[origin.Key] = origin.Value
	}
	return c.JSON(EffectiveAnswer{Path: explained.Path, Revision: explained.Revision, Settings: settings})
}

// getExplain returns the origins of the settings of a node of the tree.
func (s *Server) getExplain(c *fiber.Ctx) error {
	explained, err := s.explain(c)
	if err != nil {
		return err
	}
	return c.JSON(explained)
}

// explain returns the origins of the settings of the tree node at the path in the
// query.
func (s *Server) explain(c *fiber.Ctx) (ExplainAnswer, error) {
	path, err := tree.ParsePath(utils.CopyString(c.Query("path", string(tree.RootPath))))
	if err != nil {
		return ExplainAnswer{}, badRequest(err)
	}
	current := s.config.Trees.Current()
	origins, err := current.Explain(path)
	if err != nil {
		return ExplainAnswer{}, err
	}
	return ExplainAnswer{Path: path, Revision: current.Revision(), Origins: origins}, nil
}

// getHistory returns the last accepted changes.
func (s *Server) getHistory(c *fiber.Ctx) error {
	count, err := queryNumber(c, "n", defaultHistory)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	changes, err := s.config.Trees.History(ctx, int(min(count, maxHistory)))
	if err != nil {
		return err
	}
	return c.JSON(HistoryAnswer{Changes: changes})
}

// getDiff returns the edits from one revision to another, by default to the one in
// force.
func (s *Server) getDiff(c *fiber.Ctx) error {
	from, err := queryNumber(c, "from", 0)
	if err != nil {
		return err
	}
	to, err := queryNumber(c, "to", uint64(s.config.Trees.Current().Revision()))
	if err != nil {
		return err
	}
	before, err := s.treeAt(tree.Revision(from))
	if err != nil {
		return err
	}
	after, err := s.treeAt(tree.Revision(to))
	if err != nil {
		return err
	}
	return c.JSON(DiffAnswer{From: before.Revision(), To: after.Revision(), Edits: tree.Diff(before, after)})
}

// queryNumber returns a numeric query parameter, or initial if it is missing.
func queryNumber(c *fiber.Ctx, name string, initial uint64) (uint64, error) {
	text := c.Query(name)
	if text == "" {
		return initial, nil
	}
	number, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, badRequest(errors.Errorf("%s=%q is no number", name, utils.CopyString(text)))
	}
	return number, nil
}

// postEdits commits a change to the tree.
func (s *Server) postEdits(c *fiber.Ctx) error {
	request, err := readEdits(c.Body())
	if err != nil {
		return badRequest(err)
	}
	author, _ := c.Locals(operatorLocal).(string)
	change := tree.Change{ID: request.ID, Author: author, At: s.config.Now(), Base: request.Base, Edits: request.Edits}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	revision, err := s.config.Trees.Commit(ctx, change)
	if err != nil {
		s.config.Logger.Warn("tree change refused", "change", change.ID, "author", author, "base", change.Base, "error", err)
		return err
	}
	s.config.Logger.Info("tree change accepted", "change", change.ID, "author", author, "revision", revision, "edits", len(change.Edits))
	return c.JSON(EditAnswer{Revision: revision})
}

// readEdits decodes the body of a change. The result does not alias the body, because
// decoding copies all strings.
func readEdits(body []byte) (EditRequest, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var request EditRequest
	if err := decoder.Decode(&request); err != nil {
		return EditRequest{}, errors.Wrap(err, "the body is no change")
	}
	if decoder.More() {
		return EditRequest{}, errors.New("the body holds more than one change")
	}
	return request, nil
}
